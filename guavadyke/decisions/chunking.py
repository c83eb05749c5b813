"""How a job is divided into chunks."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Iterator

from guavadyke.settings import BatchSettings

SMALLEST_CHUNK_ITEMS = 8
MOST_CHUNKS = 512
_CHUNKS_FOR_EACH_HOST = 2
_SHARE_OF_TIME = 0.25
_SHORTEST_ITEM_S = 0.001


@dataclasses.dataclass(frozen=True)
class ChunkingInput:
    """What the size of chunks depends on.

    ``due_s`` is the time left; ``item_s`` how long one item takes;
    ``slots`` how many items one host has in flight.
    """

    items: int
    due_s: float
    hosts: int
    slots: int
    item_s: float


def items_per_chunk(size: ChunkingInput, settings: BatchSettings) -> int:
    """Return how many items a chunk gets.

    A chunk is as large as allowed, which costs the fewest calls, unless
    one host would then need a good part of the time that is left. Then
    the job is spread over the hosts.
    """
    largest = settings.chunk_items
    items_per_s = max(1, size.slots) / max(size.item_s, _SHORTEST_ITEM_S)
    chunk_s = min(largest, size.items) / items_per_s
    if chunk_s <= size.due_s * _SHARE_OF_TIME:
        return largest
    spread = math.ceil(size.items / (size.hosts * _CHUNKS_FOR_EACH_HOST))
    in_time = int(max(0, size.due_s) * _SHARE_OF_TIME * items_per_s)
    fewest = math.ceil(size.items / MOST_CHUNKS)
    return min(largest, max(spread, in_time, fewest, SMALLEST_CHUNK_ITEMS))


def split_into_chunks(
    lines: Iterable[bytes],
    items: int,
    settings: BatchSettings,
) -> Iterator[tuple[bytes, ...]]:
    """Yield chunks of lines, bounded in items and bytes."""
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
