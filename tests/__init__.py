import heronstall.rollout  # noqa: F401  # before numpy: it sets how many threads that takes
