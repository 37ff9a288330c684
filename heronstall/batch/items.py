"""Batch items as they are kept and handed on: encoded once, by the dispatcher that took them in.

An owner needs of an item no more than its id, its tokens and its size. Decoding thousands of items for each
snapshot and each start would hold up its heartbeats for seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from heronstall.batch.fields import encode_length_delimited
from heronstall.transport.messages import BatchItem, BatchJob

ITEMS_FIELD, ITEM_IDS_FIELD = 4, 9  # of BatchJob


class StoredItem(NamedTuple):
    """An encoded item and its tokens."""

    encoded: bytes
    tokens: int

    def decode(self) -> BatchItem:
        """The item itself."""
        return BatchItem().parse(self.encoded)


def set_items(job: BatchJob, items: Iterable[BatchItem]) -> BatchJob:
    """Set a job's items; returns the job."""
    return set_stored_items(job, {item.id: StoredItem(bytes(item), item.tokens) for item in items})


def set_stored_items(job: BatchJob, items: Mapping[str, StoredItem]) -> BatchJob:
    """Set a job's items from encoded ones; returns the job."""
    job.items = [item.encoded for item in items.values()]
    job.item_ids = list(items)
    job.item_tokens = [item.tokens for item in items.values()]
    return job


def encode_with_items(job: BatchJob, items: Mapping[str, StoredItem]) -> bytes:
    """The bytes of a job that has no items, with these, without a step of the message library for each."""
    parts = [bytes(set_stored_items(job, {}))]
    parts += [encode_length_delimited(ITEMS_FIELD, item.encoded) for item in items.values()]
    parts += [encode_length_delimited(ITEM_IDS_FIELD, name.encode()) for name in items]
    parts.append(bytes(BatchJob(item_tokens=[item.tokens for item in items.values()])))
    return b"".join(parts)


def stored_items(job: BatchJob) -> dict[str, StoredItem]:
    """A job's items by id. A job of an earlier release carries no ids beside its items: they are decoded."""
    if len(job.item_ids) == len(job.items):
        stored = map(StoredItem, job.items, job.item_tokens)
        return dict(zip(job.item_ids, stored, strict=True))
    found: dict[str, StoredItem] = {}
    for encoded in job.items:
        item = BatchItem().parse(encoded)
        found[item.id] = StoredItem(encoded, item.tokens)
    return found
