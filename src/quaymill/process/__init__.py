"""What lives for the whole process."""
