"""Software versions of streams that callers may take up at any gateway."""
