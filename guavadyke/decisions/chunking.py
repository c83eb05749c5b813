"""Chunk sizes of a batch job, and splitting its input into chunks."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Iterator

from guavadyke.settings import BatchSettings

MIN_CHUNK_ITEMS = 8
MAX_CHUNKS = 512
_CHUNKS_PER_HOST = 2
_CHUNK_TIME_SHARE = 0.25
_MIN_ITEM_S = 0.001


@dataclasses.dataclass(frozen=True)
class ChunkingInput:
    """Size of a job and the capacity of the hosts that run it.

    ``due_s`` is the seconds left until the job is due, ``item_s`` the
    seconds that one item takes, and ``slots`` the number of items that one
    host has in flight.
    """

    items: int
    due_s: float
    hosts: int
    slots: int
    item_s: float


def items_per_chunk(size: ChunkingInput, settings: BatchSettings) -> int:
    """Return the number of items in each chunk of a job.

    Chunks have the configured maximum size, which needs the fewest calls to
    the platform, unless one host would need more than a quarter of the
    remaining time for such a chunk. Then chunks are smaller, so that the
    job is spread over the hosts.
    """
    largest = settings.chunk_items
    items_per_s = max(1, size.slots) / max(size.item_s, _MIN_ITEM_S)
    chunk_s = min(largest, size.items) / items_per_s
    if chunk_s <= size.due_s * _CHUNK_TIME_SHARE:
        return largest
    for_all_hosts = math.ceil(size.items / (size.hosts * _CHUNKS_PER_HOST))
    in_time = int(max(0, size.due_s) * _CHUNK_TIME_SHARE * items_per_s)
    for_max_chunks = math.ceil(size.items / MAX_CHUNKS)
    return min(
        largest, max(for_all_hosts, in_time, for_max_chunks, MIN_CHUNK_ITEMS)
    )


def split_into_chunks(
    lines: Iterable[bytes],
    items: int,
    settings: BatchSettings,
) -> Iterator[tuple[bytes, ...]]:
    """Split input lines into chunks of at most ``items`` lines.

    A chunk also ends before ``settings.chunk_bytes`` would be exceeded; a
    single line that is longer forms a chunk of its own.
    """
    chunk: list[bytes] = []
    size = 0
    for line in lines:
        full = len(chunk) >= items or size + len(line) > settings.chunk_bytes
        if chunk and full:
            yield tuple(chunk)
            chunk = []
            size = 0
        chunk.append(line)
        size += len(line)
    if chunk:
        yield tuple(chunk)
