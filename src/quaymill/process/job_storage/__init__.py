"""Storage node: stores jobs and results, repairs copies and assigns orphaned jobs."""
