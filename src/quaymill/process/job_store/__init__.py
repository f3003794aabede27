"""The job store: groups of a replicated log with files, jobs and calls as their state."""
