"""The keelgap agent terminates flows next to an upstream instance."""
