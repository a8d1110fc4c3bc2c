"""Pipelining: runs the requests of a caller's connection side by side and answers them in order."""
