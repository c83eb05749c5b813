"""JSON bodies of the platform objects of forwarded jobs."""

from __future__ import annotations

import base64
from collections.abc import Mapping
from typing import Annotated, TypeVar

import pydantic

from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItem,
    ForwardItemResult,
    JobProgress,
    ResultPage,
)
from guavadyke.decisions.request_cost import RequestSize
from guavadyke.errors import ErrorCode, GuavadykeError

JOB_KIND = 'forward-jobs'
PROGRESS_KIND = 'forward-progress'
PAGE_KIND = 'forward-results'

_Base64Bytes = Annotated[
    bytes,
    pydantic.PlainSerializer(lambda raw: base64.b64encode(raw).decode()),
    pydantic.BeforeValidator(base64.b64decode),
]
_DocumentT = TypeVar('_DocumentT', bound=pydantic.BaseModel)


class _SizeDocument(pydantic.BaseModel):
    prompt: int
    maximum: int
    hint: int
    parts: tuple[tuple[str, int], ...]


class _ItemDocument(pydantic.BaseModel):
    item_id: str
    path: str
    headers: Mapping[str, str]
    body: _Base64Bytes
    tokens: int
    prompt_parts: tuple[str, ...] = ()
    # None where nothing is stated, or by hosts of older releases.
    size: _SizeDocument | None = None


class _JobDocument(pydantic.BaseModel):
    route: str
    host: str
    accepted_at: float
    owner: str
    items: tuple[_ItemDocument, ...]
    # Empty for jobs without a team and for those of hosts of older releases.
    team: str = ''


class _ProgressDocument(pydantic.BaseModel):
    owner: str = ''
    # False also where a host of an older release has written.
    claimed: bool = False
    cancelled: bool = False
    finished: bool = False
    listed_tokens: int = 0


class _ListingDocument(pydantic.BaseModel):
    item_id: str
    completed: bool
    text: str = ''


class _PageDocument(pydantic.BaseModel):
    listings: tuple[_ListingDocument, ...]


def encode_job(job: AcceptedJob) -> bytes:
    """Encode the body of a job's object."""
    document = _JobDocument(
        route=job.route,
        host=job.host,
        accepted_at=job.accepted_at,
        owner=job.owner,
        team=job.team,
        items=tuple(
            _ItemDocument.model_construct(
                item_id=item.item_id,
                path=item.path,
                headers=item.headers,
                body=item.body,
                tokens=item.tokens,
                prompt_parts=item.prompt_parts,
                size=_size_document(item.size),
            )
            for item in job.items
        ),
    )
    return document.model_dump_json().encode()


def decode_job(job_id: str, body: bytes) -> AcceptedJob:
    """Decode a job's object.

    Raises:
        GuavadykeError: the body is not a valid job.
    """
    document = _parse_document(_JobDocument, job_id, body)
    return AcceptedJob(
        job_id=job_id,
        route=document.route,
        host=document.host,
        accepted_at=document.accepted_at,
        owner=document.owner,
        team=document.team,
        items=tuple(
            ForwardItem(
                item.item_id,
                item.path,
                item.headers,
                item.body,
                item.tokens,
                item.prompt_parts,
                _size(item.size, document),
            )
            for item in document.items
        ),
    )


def _size_document(size: RequestSize) -> _SizeDocument | None:
    if not (size.memory_tokens or size.output_hint or size.parts):
        return None
    return _SizeDocument(
        prompt=size.prompt_tokens,
        maximum=size.max_output_tokens,
        hint=size.output_hint,
        parts=size.parts,
    )


def _size(size: _SizeDocument | None, job: _JobDocument) -> RequestSize:
    if size is None:
        return RequestSize(route=job.route, team=job.team)
    return RequestSize(
        size.prompt, size.maximum, size.hint, size.parts, job.route, job.team
    )


def encode_progress(progress: JobProgress) -> bytes:
    """Encode the body of a progress object."""
    return (
        _ProgressDocument(
            owner=progress.owner,
            claimed=progress.claimed,
            cancelled=progress.cancelled,
            finished=progress.finished,
            listed_tokens=progress.listed_tokens,
        )
        .model_dump_json()
        .encode()
    )


def decode_progress(job_id: str, body: bytes) -> JobProgress:
    """Decode a progress object.

    Raises:
        GuavadykeError: the body is not a valid progress record.
    """
    document = _parse_document(_ProgressDocument, job_id, body)
    return JobProgress(**document.model_dump())


def encode_page(page: ResultPage) -> bytes:
    """Encode the body of a page of results."""
    document = _PageDocument(
        listings=tuple(
            _ListingDocument(
                item_id=listing.item_id,
                completed=listing.completed,
                text=listing.text,
            )
            for listing in page.listings
        ),
    )
    return document.model_dump_json().encode()


def decode_page(name: str, body: bytes) -> ResultPage:
    """Decode a page of results.

    Raises:
        GuavadykeError: the body is not a valid page.
    """
    document = _parse_document(_PageDocument, name, body)
    return ResultPage(
        tuple(
            ForwardItemResult(listing.item_id, listing.completed, listing.text)
            for listing in document.listings
        ),
    )


def page_name(job_id: str, number: int) -> str:
    """Return the object name of a result page; ``number`` starts at 0."""
    return f'{job_id}.{number}'


def job_of_page(name: str) -> str:
    """Return the id of the job that a result page belongs to."""
    return name.rpartition('.')[0]


def _parse_document(
    model: type[_DocumentT],
    name: str,
    body: bytes,
) -> _DocumentT:
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.internal,
            f'{name} on the platform is not valid: {error}',
        ) from error
