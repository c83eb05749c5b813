"""Filter interface, and the requests and responses filters handle."""

from __future__ import annotations

import abc
import dataclasses
import functools
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import BinaryIO, TypeAlias

from guavadyke.catalogue import ModelEntry, ServiceEntry


@dataclasses.dataclass
class Exchange:
    """One request, and what filters have determined about it.

    Header names are in lower case. ``received_at`` and ``deadline`` are
    seconds of the monotonic clock. ``disconnected`` returns whether the
    caller has closed its connection. ``target`` is the path with its query
    as received.
    """

    request_id: str
    method: str
    path: str
    query: Mapping[str, str]
    # They may contain a key, which no representation may show.
    headers: Mapping[str, str] = dataclasses.field(repr=False)
    body_input: BinaryIO
    received_at: float
    disconnected: Callable[[], bool]
    path_parts: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    owner: str = ''
    entry_name: str = ''
    entry: ModelEntry | ServiceEntry | None = None
    deadline: float = 0
    idempotent: bool = True
    idempotency_key: str = ''
    streamed: bool = False
    document: Mapping[str, object] = dataclasses.field(default_factory=dict)
    query_string: str = ''
    target: str = ''


@dataclasses.dataclass
class Answer:
    """The response to the caller.

    ``body`` is either complete or an iterator of chunks that are sent as
    they are produced.
    """

    status: int
    body: bytes | Iterator[bytes] = b''
    content_type: str = 'application/json'
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


Handler: TypeAlias = Callable[[Exchange], Answer]


class Filter(abc.ABC):
    """One step of the filter chain.

    A filter either returns a response itself or calls the next handler.
    """

    @abc.abstractmethod
    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Handle the exchange.

        Args:
            exchange: the request; the filter may set fields of it.
            following: the rest of the chain.

        Raises:
            GuavadykeError: the request was refused or has failed.
        """


def chain(filters: Sequence[Filter], handler: Handler) -> Handler:
    """Return a handler that runs the filters in order, then ``handler``."""
    return functools.reduce(
        lambda following, step: functools.partial(
            step.apply,
            following=following,
        ),
        reversed(filters),
        handler,
    )
