"""JSON bodies of the platform objects that tell where streams began.

One object holds the software versions that serve or have left lately. Beside
it there is one object for each host, with the streams that began there while
several versions served.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Iterator, Mapping

import pydantic

from guavadyke.decisions.stream_origins import StreamOrigin
from guavadyke.errors import ErrorCode, GuavadykeError

ORIGIN_KIND = 'stream-origins'
HISTORY_NAME = 'software'
HOST_PREFIX = 'host.'

History = Mapping[str, Mapping[str, float]]


class _HistoryDocument(pydantic.BaseModel):
    """``versions`` has by service and version when the version has left.

    Times are in seconds since the epoch, None for a version that serves.
    """

    complete_since: float
    versions: dict[str, dict[str, float | None]]


class _OriginsDocument(pydantic.BaseModel):
    """``streams`` has by service and version the ids of streams."""

    at: float
    streams: dict[str, dict[str, tuple[str, ...]]]

    @property
    def origins(self) -> Iterator[StreamOrigin]:
        """The origins of all streams."""
        for service, by_software in self.streams.items():
            for software, ids in by_software.items():
                yield from (
                    StreamOrigin(stream_id, service, software)
                    for stream_id in ids
                )


def encode_history(complete_since: float, history: History) -> bytes:
    """Encode the versions that serve or have left lately.

    Args:
        complete_since: from when on no version was missed, in seconds since
            the epoch.
        history: by service and version, when the version has left; infinity
            if it serves.
    """
    document = _HistoryDocument(
        complete_since=complete_since,
        versions={
            service: {
                version: None if math.isinf(gone_at) else gone_at
                for version, gone_at in versions.items()
            }
            for service, versions in history.items()
        },
    )
    return document.model_dump_json().encode()


def decode_history(body: bytes) -> tuple[float, dict[str, dict[str, float]]]:
    """Return what ``encode_history`` takes.

    Raises:
        GuavadykeError: the body is not such a document.
    """
    try:
        document = _HistoryDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _invalid(HISTORY_NAME, error) from error
    return document.complete_since, {
        service: {
            version: math.inf if gone_at is None else gone_at
            for version, gone_at in versions.items()
        }
        for service, versions in document.versions.items()
    }


def encode_origins(origins: Iterable[StreamOrigin], wall: float) -> bytes:
    """Encode the streams that began at a host.

    Args:
        origins: the streams.
        wall: seconds since the epoch.
    """
    ordered = sorted(origins, key=_place)
    streams: dict[str, dict[str, tuple[str, ...]]] = {}
    for (service, software), found in itertools.groupby(ordered, _place):
        ids = tuple(origin.stream_id for origin in found)
        streams.setdefault(service, {})[software] = ids
    return _OriginsDocument(at=wall, streams=streams).model_dump_json().encode()


def decode_origins(
    name: str, body: bytes
) -> tuple[tuple[StreamOrigin, ...], float]:
    """Return the streams of a host, and when they were written.

    Raises:
        GuavadykeError: the body is not such a document.
    """
    try:
        document = _OriginsDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _invalid(name, error) from error
    return tuple(document.origins), document.at


def _place(origin: StreamOrigin) -> tuple[str, str]:
    return origin.service, origin.software


def _invalid(name: str, error: pydantic.ValidationError) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.internal,
        f'{name} on the platform tells no origins of streams: {error}',
    )
