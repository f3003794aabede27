"""What a gateway knows of the operator's configuration and of the replicas, kept current."""
