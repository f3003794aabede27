"""Membership of the fleet: nodes discover and monitor each other by probes."""
