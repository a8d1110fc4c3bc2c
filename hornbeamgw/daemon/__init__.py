"""The daemon: tasks that own sockets and carry the decisions of the core."""
