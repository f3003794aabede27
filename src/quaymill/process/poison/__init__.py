"""Requests that crash replicas: detects crashes, shares them with other gateways, stores them."""
