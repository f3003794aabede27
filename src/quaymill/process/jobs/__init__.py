"""What a gateway does for batch jobs: takes them, runs their items, and shows their results."""
