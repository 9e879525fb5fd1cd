"""Decodes and validates the configuration, from JSON or TOML to typed values.

It owns the formats, the external keys and the validation; each error names the invalid key.  It must not know how a
value is used: it opens no socket and makes no balancing decision.
"""
