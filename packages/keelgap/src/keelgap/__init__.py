"""What both keelgap programs share."""

from typing import Final

__all__ = ('VERSION',)

VERSION: Final = '0.1.0'
