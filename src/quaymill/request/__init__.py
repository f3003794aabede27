"""Handling of a single request: queueing, choice of a replica, forwarding, relaying."""
