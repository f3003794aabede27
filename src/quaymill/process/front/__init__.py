"""The interface towards callers of opaque requests and batch jobs."""
