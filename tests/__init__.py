"""Tests, laid out like the packages."""

from keelgap.logs import logger

# What the programs log is tested where it matters, and noise elsewhere.
logger.remove()
