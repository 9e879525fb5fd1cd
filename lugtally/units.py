"""Conversion factors to nanoseconds, the unit of all times and durations in the daemon."""

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
