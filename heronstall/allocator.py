"""Settings of the C library's memory allocator for processes with a memory limit."""

from __future__ import annotations

import ctypes

M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3  # parameters of mallopt, from malloc.h
MMAP_THRESHOLD_BYTES = 1024 * 1024
TRIM_THRESHOLD_BYTES = 2 * MMAP_THRESHOLD_BYTES


def return_large_buffers() -> None:
    """Has large buffers returned to the system when they are freed.

    By itself glibc raises the size from which it does so with each large buffer that is freed. Later buffers
    of many sizes then leave gaps between small objects, which still count as memory of the process. Other C
    libraries have no such setting.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
