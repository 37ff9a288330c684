"""The control plane of the tier: worker registry, configuration and sessions on core nodes, batch jobs on storage nodes."""
