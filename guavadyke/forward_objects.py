"""Objects that hold forwarded jobs on the platform."""

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
from guavadyke.errors import ErrorCode, GuavadykeError

JOB_KIND = 'forward-jobs'
PROGRESS_KIND = 'forward-progress'
PAGE_KIND = 'forward-results'

_Bytes = Annotated[
    bytes,
    pydantic.PlainSerializer(lambda raw: base64.b64encode(raw).decode()),
    pydantic.BeforeValidator(base64.b64decode),
]
Document = TypeVar('Document', bound=pydantic.BaseModel)


class _ItemDocument(pydantic.BaseModel):
    item_id: str
    path: str
    headers: Mapping[str, str]
    body: _Bytes
    tokens: int


class _JobDocument(pydantic.BaseModel):
    route: str
    host: str
    accepted_at: float
    owner: str
    items: tuple[_ItemDocument, ...]


class _ProgressDocument(pydantic.BaseModel):
    owner: str = ''
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
    """Return the body of a job's object."""
    document = _JobDocument(
        route=job.route,
        host=job.host,
        accepted_at=job.accepted_at,
        owner=job.owner,
        items=tuple(
            _ItemDocument.model_construct(
                item_id=item.item_id,
                path=item.path,
                headers=item.headers,
                body=item.body,
                tokens=item.tokens,
            )
            for item in job.items
        ),
    )
    return document.model_dump_json().encode()


def decode_job(job_id: str, body: bytes) -> AcceptedJob:
    """Return the job of an object.

    Raises:
        GuavadykeError: the body is not one.
    """
    document = _parsed(_JobDocument, job_id, body)
    return AcceptedJob(
        job_id=job_id,
        route=document.route,
        host=document.host,
        accepted_at=document.accepted_at,
        owner=document.owner,
        items=tuple(
            ForwardItem(
                item.item_id,
                item.path,
                item.headers,
                item.body,
                item.tokens,
            )
            for item in document.items
        ),
    )


def encode_progress(progress: JobProgress) -> bytes:
    """Return the body of a progress object."""
    return (
        _ProgressDocument(
            owner=progress.owner,
            cancelled=progress.cancelled,
            finished=progress.finished,
            listed_tokens=progress.listed_tokens,
        )
        .model_dump_json()
        .encode()
    )


def decode_progress(job_id: str, body: bytes) -> JobProgress:
    """Return the progress of an object.

    Raises:
        GuavadykeError: the body is not one.
    """
    document = _parsed(_ProgressDocument, job_id, body)
    return JobProgress(**document.model_dump())


def encode_page(page: ResultPage) -> bytes:
    """Return the body of a page of results."""
    document = _PageDocument(
        listings=tuple(
            _ListingDocument(
                item_id=one.item_id,
                completed=one.completed,
                text=one.text,
            )
            for one in page.listings
        ),
    )
    return document.model_dump_json().encode()


def decode_page(name: str, body: bytes) -> ResultPage:
    """Return the page of an object.

    Raises:
        GuavadykeError: the body is not one.
    """
    document = _parsed(_PageDocument, name, body)
    return ResultPage(
        tuple(
            ForwardItemResult(one.item_id, one.completed, one.text)
            for one in document.listings
        ),
    )


def page_name(job_id: str, number: int) -> str:
    """Return the name of a page of a job, counted from 0."""
    return f'{job_id}.{number}'


def _parsed(
    model: type[Document],
    name: str,
    body: bytes,
) -> Document:
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.internal,
            f'{name} on the platform is unreadable: {error}',
        ) from error
