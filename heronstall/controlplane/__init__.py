"""The control plane: registry, configuration and sessions on core nodes, batch jobs on storage nodes."""
