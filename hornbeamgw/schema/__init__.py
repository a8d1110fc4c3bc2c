"""Cap'n Proto schema of the messages exchanged by daemons."""
