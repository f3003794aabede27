"""What each tenant may send."""
