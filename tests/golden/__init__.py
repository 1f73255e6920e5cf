"""Golden files of whole sessions, which read like stories."""
