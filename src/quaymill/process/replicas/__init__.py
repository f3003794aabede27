"""What this node knows of the replicas, and which of them takes a request."""
