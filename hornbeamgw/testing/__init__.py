"""Stand-in servers, simulations and helpers, which users may also use in their own tests."""
