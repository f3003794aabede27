"""Requests that crash replicas: finds out about crashes, shares them and keeps them."""
