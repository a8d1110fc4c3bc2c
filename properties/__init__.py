"""Property tests: long randomised runs of many nodes with invariants asserted inside."""
