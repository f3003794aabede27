"""The replicas listed by the platform, their load and health, and the choice among them."""
