"""What lives for one version of the serving configuration."""
