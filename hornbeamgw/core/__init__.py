"""Core logic of the mesh, free of I/O; callers pass in the current time."""
