"""What an operator sees of a running tier: asked of its nodes by the internal protocol, then judged."""
