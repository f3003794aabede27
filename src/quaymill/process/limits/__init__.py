"""Rate and concurrency limits of tenants, enforced over all gateways."""
