"""The replicas that the platform lists, what is known of their load, and the choice among them."""
