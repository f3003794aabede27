"""Which nodes there are, found and watched by probes between them."""
