"""Command line of operators."""
