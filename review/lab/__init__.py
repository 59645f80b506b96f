"""Stand-ins for the platform, its backends and its consumers."""
