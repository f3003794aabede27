"""Batch jobs on a gateway: accepts jobs, runs their items and serves their results."""
