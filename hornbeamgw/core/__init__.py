"""Decisions of the mesh: pure code that does no I/O and reads no clock."""
