"""Scheduling policies that the dispatcher and the serving tier share."""
