"""The adapter to the users' platform."""
