"""Measures processor time and memory of one action."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

_US_PER_S = 1_000_000


def processor_us(action: Callable[[], object], repeats: int) -> float:
    """Return the microseconds of this thread's processor time per call."""
    action()
    gc.collect()
    before_s = time.thread_time()
    for _ in range(repeats):
        action()
    return (time.thread_time() - before_s) * _US_PER_S / repeats


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that what is built keeps allocated."""
    tracemalloc.start()
    try:
        return _kept_bytes(build)
    finally:
        tracemalloc.stop()


def _kept_bytes(build: Callable[[], object]) -> int:
    before = _traced_bytes()
    kept = [build()]
    after = _traced_bytes()
    kept.clear()
    return after - before


def _traced_bytes() -> int:
    gc.collect()
    current, _peak = tracemalloc.get_traced_memory()
    return current
