"""Measures CPU time and memory of a function."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

_US_PER_S = 1_000_000


def cpu_us(action: Callable[[], object], repeats: int) -> float:
    """Return the mean CPU time of this thread per call, in microseconds.

    Args:
        action: the function; it is called once more before, as warm-up.
        repeats: number of measured calls.
    """
    action()
    gc.collect()
    before_s = time.thread_time()
    for _ in range(repeats):
        action()
    return (time.thread_time() - before_s) * _US_PER_S / repeats


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that the object returned by ``build`` occupies."""
    tracemalloc.start()
    try:
        return _held_bytes(build)
    finally:
        tracemalloc.stop()


def _held_bytes(build: Callable[[], object]) -> int:
    before = _traced_bytes()
    results = [build()]
    after = _traced_bytes()
    results.clear()
    return after - before


def _traced_bytes() -> int:
    gc.collect()
    current, _peak = tracemalloc.get_traced_memory()
    return current
