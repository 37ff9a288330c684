"""Batch items in encoded form: encoded once, by the dispatcher that accepted them.

The owner of a shard needs only the id, the tokens and the size of an item. Decoding thousands of items for
each snapshot and at each start would delay its heartbeats by seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from heronstall.batch.fields import encode_length_delimited
from heronstall.transport.messages import BatchItem, BatchJob

ITEMS_FIELD, ITEM_IDS_FIELD = 4, 9  # of BatchJob


class StoredItem(NamedTuple):
    """An encoded item and its token count."""

    encoded: bytes
    tokens: int

    def decode(self) -> BatchItem:
        """Returns the decoded item."""
        return BatchItem().parse(self.encoded)


def set_items(job: BatchJob, items: Iterable[BatchItem]) -> BatchJob:
    """Sets a job's items and returns the job."""
    return set_stored_items(job, {item.id: StoredItem(bytes(item), item.tokens) for item in items})


def set_stored_items(job: BatchJob, items: Mapping[str, StoredItem]) -> BatchJob:
    """Sets a job's items from their encoded form and returns the job."""
    job.items = [item.encoded for item in items.values()]
    job.item_ids = list(items)
    job.item_tokens = [item.tokens for item in items.values()]
    return job


def encode_with_items(job: BatchJob, items: Mapping[str, StoredItem]) -> bytes:
    """Returns the encoding of a job, which has no items of its own, with the given items.

    The message library is not called for each item.
    """
    parts = [bytes(set_stored_items(job, {}))]
    parts += [encode_length_delimited(ITEMS_FIELD, item.encoded) for item in items.values()]
    parts += [encode_length_delimited(ITEM_IDS_FIELD, name.encode()) for name in items]
    parts.append(bytes(BatchJob(item_tokens=[item.tokens for item in items.values()])))
    return b"".join(parts)


def stored_items(job: BatchJob) -> dict[str, StoredItem]:
    """Returns a job's items by id.

    A job written by an earlier release has no ids beside its items; its items are decoded to get them.
    """
    if len(job.item_ids) == len(job.items):
        stored = map(StoredItem, job.items, job.item_tokens)
        return dict(zip(job.item_ids, stored, strict=True))
    items: dict[str, StoredItem] = {}
    for encoded in job.items:
        item = BatchItem().parse(encoded)
        items[item.id] = StoredItem(encoded, item.tokens)
    return items
