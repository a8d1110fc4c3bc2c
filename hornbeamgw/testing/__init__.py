"""Stand-ins and helpers that users may use in tests of their own."""
