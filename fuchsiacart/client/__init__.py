"""Client library for callers and operators."""
