"""What the platform tells a process by its environment."""

SETTINGS_VARIABLE = "QUAYMILL_BOOT"
"""Path of the settings file."""
