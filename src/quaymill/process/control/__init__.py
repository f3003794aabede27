"""A gateway's current view of the configuration and replicas, and its calls to the store."""
