"""State of the replicas as known to this node, and the choice of a replica for a request."""
