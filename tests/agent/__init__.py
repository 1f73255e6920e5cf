"""Tests, laid out like the packages."""
