"""The supervisor of a machine's dispatcher processes, and the controller of a rollout over all machines."""
