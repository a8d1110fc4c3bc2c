"""Cap'n Proto schema of the messages between daemons."""
