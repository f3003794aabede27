"""Connections to peers, replicas and the platform, and the messages sent over them."""
