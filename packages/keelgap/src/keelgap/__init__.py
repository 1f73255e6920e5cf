"""Code shared by the keelgap balancer and agent."""

from typing import Final

__all__ = ('VERSION',)

VERSION: Final = '0.1.0'
