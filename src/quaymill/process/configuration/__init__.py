"""The serving configuration in this process: editing it and keeping it current."""
