"""Objects of batch jobs as the platform holds them."""

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
_LEVEL = 3


@dataclasses.dataclass(frozen=True)
class JobRecord:
    """A batch job.

    Times are seconds since the epoch. ``sizes`` gives the items of each
    chunk. ``upload`` is part of the names of the chunks' inputs. A job
    exists for callers once it is ``committed``; it has ended for good
    once ``finished_at`` is set.
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
        """Items of the whole job."""
        return sum(self.sizes)

    def is_expired(self, now: float) -> bool:
        """Return whether nothing of the job begins any more."""
        return self.expires is not None and now >= self.expires


@dataclasses.dataclass(frozen=True)
class BatchItem:
    """One item as the caller gave it."""

    custom_id: str
    body: object
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """A host's lease."""

    host_id: str
    zone: str


@dataclasses.dataclass(frozen=True)
class _PartLine:
    index: int
    outcome: Outcome
    response: object
    error: str


_JOB: pydantic.TypeAdapter[JobRecord] = pydantic.TypeAdapter(JobRecord)
_CHUNK: pydantic.TypeAdapter[ChunkState] = pydantic.TypeAdapter(ChunkState)
_LEASE: pydantic.TypeAdapter[LeaseRecord] = pydantic.TypeAdapter(LeaseRecord)
_PART: pydantic.TypeAdapter[tuple[_PartLine, ...]] = pydantic.TypeAdapter(
    tuple[_PartLine, ...],
)


def chunk_name(job_id: str, index: int) -> str:
    """Return the name of a chunk's state."""
    return f'{job_id}.{index:04d}'


def input_name(job: JobRecord, index: int) -> str:
    """Return the name of the object that holds a chunk's items."""
    return f'{job.job_id}.{job.upload}.{index:04d}'


def part_name(job_id: str, index: int, nonce: str) -> str:
    """Return the name of an object that holds results of a chunk."""
    return f'{job_id}.{index:04d}.{nonce}'


def encode_job(job: JobRecord) -> bytes:
    """Return the job as JSON."""
    return _JOB.dump_json(job, exclude_defaults=True)


def decode_job(body: bytes) -> JobRecord:
    """Read a job.

    Raises:
        ValueError: the body is no job.
    """
    return _JOB.validate_json(body)


def encode_chunk(state: ChunkState) -> bytes:
    """Return the chunk's state as JSON."""
    return _CHUNK.dump_json(state, exclude_defaults=True)


def decode_chunk(body: bytes) -> ChunkState:
    """Read a chunk's state.

    Raises:
        ValueError: the body is no chunk.
    """
    return _CHUNK.validate_json(body)


def encode_lease(lease: LeaseRecord) -> bytes:
    """Return the lease as JSON."""
    return _LEASE.dump_json(lease)


def compress_lines(lines: Iterable[bytes]) -> bytes:
    """Return lines of NDJSON, compressed."""
    return zlib.compress(b'\n'.join(lines), _LEVEL)


def decode_items(body: bytes, *, idempotent: bool) -> tuple[BatchItem, ...]:
    """Read a chunk's items.

    Args:
        body: compressed NDJSON.
        idempotent: what holds for items that do not say it themselves.
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
    """Return results, compressed."""
    lines = tuple(
        _PartLine(one.index, one.outcome, one.response, one.error)
        for one in outcomes
    )
    return zlib.compress(_PART.dump_json(lines), _LEVEL)


def decode_part(body: bytes) -> tuple[ItemOutcome, ...]:
    """Read results.

    Raises:
        ValueError: the body holds no results.
    """
    lines = _PART.validate_json(zlib.decompress(body))
    return tuple(
        ItemOutcome(line.index, line.outcome, line.response, line.error)
        for line in lines
    )
