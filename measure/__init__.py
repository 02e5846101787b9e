"""Benchmarks, capacity model and emulator of the query tier."""
