"""Benchmarks of calls."""
