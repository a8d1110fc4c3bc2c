"""Adapters to platforms, behind common interfaces; importing the package registers them."""

from hornbeamgw.backends.base import Platform, PlatformError, factories_by_name
from hornbeamgw.backends.http_platform import http_platform

__all__ = ["Platform", "PlatformError", "factories_by_name", "http_platform"]
