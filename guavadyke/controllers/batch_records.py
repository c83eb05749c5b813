"""Objects of batch jobs as the platform stores them."""

from __future__ import annotations

import dataclasses
import json
import zlib
from collections.abc import Iterable, Sequence

import pydantic

from guavadyke.decisions.chunk_state import ChunkState, ItemOutcome, Outcome

JOB_KIND = 'job'
CHUNK_KIND = 'chunk'
INPUT_KIND = 'chunk-input'
RESULT_KIND = 'chunk-result'
LEASE_KIND = 'batch-lease'
ARCHIVE_KIND = 'job-archive'
_COMPRESSION_LEVEL = 3


@dataclasses.dataclass(frozen=True)
class JobRecord:
    """A batch job.

    Times are seconds since the epoch. ``sizes`` is the number of items in
    each chunk. ``upload`` is part of the names of the chunks' inputs, so
    that two uploads of one job don't mix. A job is visible to callers once
    it is ``committed``; it is final once ``finished_at`` is set.
    """

    job_id: str
    owner: str
    entry_name: str
    created: float
    due: float
    expires: float | None
    content_hash: str
    upload: str
    sizes: tuple[int, ...] = ()
    committed: bool = False
    cancelled_at: float | None = None
    finished_at: float | None = None

    @property
    def items(self) -> int:
        """Number of items in the whole job."""
        return sum(self.sizes)

    def is_expired(self, now: float) -> bool:
        """Return whether no more items of the job may start."""
        return self.expires is not None and now >= self.expires


@dataclasses.dataclass(frozen=True)
class BatchItem:
    """One item as submitted by the caller."""

    custom_id: str
    body: object
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """Body of a host's lease."""

    host_id: str
    zone: str


@dataclasses.dataclass(frozen=True)
class _StoredOutcome:
    index: int
    outcome: Outcome
    response: object
    error: str


_JOB: pydantic.TypeAdapter[JobRecord] = pydantic.TypeAdapter(JobRecord)
_CHUNK: pydantic.TypeAdapter[ChunkState] = pydantic.TypeAdapter(ChunkState)
_LEASE: pydantic.TypeAdapter[LeaseRecord] = pydantic.TypeAdapter(LeaseRecord)
_PART: pydantic.TypeAdapter[tuple[_StoredOutcome, ...]] = pydantic.TypeAdapter(
    tuple[_StoredOutcome, ...],
)


def chunk_name(job_id: str, index: int) -> str:
    """Return the name of the object that stores a chunk's state."""
    return f'{job_id}.{index:04d}'


def input_name(job: JobRecord, index: int) -> str:
    """Return the name of the object that stores a chunk's items."""
    return f'{job.job_id}.{job.upload}.{index:04d}'


def part_name(job_id: str, index: int, nonce: str) -> str:
    """Return the name of an object that stores results of a chunk."""
    return f'{job_id}.{index:04d}.{nonce}'


def encode_job(job: JobRecord) -> bytes:
    """Return the job as JSON."""
    return _JOB.dump_json(job, exclude_defaults=True)


def decode_job(body: bytes) -> JobRecord:
    """Decode a job.

    Raises:
        ValueError: the body is not a valid job.
    """
    return _JOB.validate_json(body)


def encode_chunk(state: ChunkState) -> bytes:
    """Return the chunk's state as JSON."""
    return _CHUNK.dump_json(state, exclude_defaults=True)


def decode_chunk(body: bytes) -> ChunkState:
    """Decode a chunk's state.

    Raises:
        ValueError: the body is not a valid chunk state.
    """
    return _CHUNK.validate_json(body)


def encode_lease(lease: LeaseRecord) -> bytes:
    """Return the lease as JSON."""
    return _LEASE.dump_json(lease)


def compress_lines(lines: Iterable[bytes]) -> bytes:
    """Return lines of NDJSON compressed with zlib."""
    return zlib.compress(b'\n'.join(lines), _COMPRESSION_LEVEL)


def decode_items(body: bytes, *, idempotent: bool) -> tuple[BatchItem, ...]:
    """Decode a chunk's items.

    Args:
        body: NDJSON compressed with zlib.
        idempotent: default for items without an ``idempotent`` key.
    """
    lines = zlib.decompress(body).split(b'\n')
    documents = (json.loads(line) for line in lines)
    return tuple(
        BatchItem(
            document['custom_id'],
            document['body'],
            document.get('idempotent', idempotent),
        )
        for document in documents
    )


def encode_part(outcomes: Sequence[ItemOutcome]) -> bytes:
    """Return outcomes as JSON compressed with zlib."""
    lines = tuple(
        _StoredOutcome(
            outcome.index,
            outcome.outcome,
            outcome.response,
            outcome.error,
        )
        for outcome in outcomes
    )
    return zlib.compress(_PART.dump_json(lines), _COMPRESSION_LEVEL)


def decode_part(body: bytes) -> tuple[ItemOutcome, ...]:
    """Decode outcomes of items.

    Raises:
        ValueError: the body does not hold valid outcomes.
    """
    lines = _PART.validate_json(zlib.decompress(body))
    return tuple(
        ItemOutcome(line.index, line.outcome, line.response, line.error)
        for line in lines
    )
