"""Quotas of organisations across the fleet: decisions of users and owners, without I/O."""
