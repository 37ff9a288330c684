"""The decisions that both programs share: lanes, switch, draw."""
