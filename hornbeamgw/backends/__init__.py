"""Adapters to outside systems, each behind a small entry point; importing registers them."""

from hornbeamgw.backends.base import Platform, PlatformError, factories_by_name
from hornbeamgw.backends.http_platform import http_platform

__all__ = ["Platform", "PlatformError", "factories_by_name", "http_platform"]
