"""The operator's overview of a running tier, collected by the internal protocol and checked for problems."""
