"""A serving tier's decisions in virtual time: model engines, and the dispatchers' own code before them."""
