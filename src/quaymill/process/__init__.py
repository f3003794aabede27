"""Parts that exist for the whole lifetime of a process."""
