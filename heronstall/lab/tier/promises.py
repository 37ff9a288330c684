"""What a local tier owes its clients, checked against what its stand-ins for workers say."""

from __future__ import annotations

from collections import Counter
from typing import Any

from heronstall.lab.tier.worker import text_of


class Broken(AssertionError):
    """A promise of the tier is broken; the message says which."""


def check_results(job: str, items: int, results: list[dict[str, Any]]) -> None:
    """Each item of a job stands once, whole. Raises Broken."""
    told = Counter(str(result["id"]) for result in results)
    if told != Counter(f"{job}-{n}" for n in range(items)):
        raise Broken(f"{job}: items are missing or stand twice")
    for result in results:
        if (result["state"], result["text"]) != ("succeeded", text_of(result["id"])):
            raise Broken(f"{job}: {result['id']} is {result['state']}: {result['text'][:60]!r}")
