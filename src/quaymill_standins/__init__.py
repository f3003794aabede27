"""Stand-ins for the outside systems: platform, engine and application."""
