"""Environment variables that the platform sets for a process."""

SETTINGS_VARIABLE = "QUAYMILL_BOOT"
"""Path of the settings file."""
