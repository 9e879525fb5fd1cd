"""Decodes and validates the configuration: JSON or TOML in, typed values out.

The package owns the formats, the external keys and the validation; each error names the invalid key.  It must not know
how a value is used: it opens no socket and makes no balancing decision.
"""
