"""Benchmarks: real processes on loopback; each prints JSON lines with n and the spread."""
