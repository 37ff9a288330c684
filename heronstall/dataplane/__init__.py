"""The data plane of the tier: takes clients' requests, passes them to workers, fronts batch jobs."""
