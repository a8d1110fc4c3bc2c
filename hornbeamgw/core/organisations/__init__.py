"""Organisations: who sends a request, and how urgent it is."""
