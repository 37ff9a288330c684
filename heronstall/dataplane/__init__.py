"""The data plane of the tier: forwards clients' requests to workers and runs batch items."""
