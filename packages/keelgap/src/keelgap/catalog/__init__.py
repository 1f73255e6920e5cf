"""What the platform publishes, followed by few calls and shared by peers."""
