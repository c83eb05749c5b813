"""What a filter is: one step of the chain that a request passes."""

from __future__ import annotations

import abc
import dataclasses
import functools
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import BinaryIO, TypeAlias

from guavadyke.catalogue import ModelEntry, ServiceEntry


@dataclasses.dataclass
class Exchange:
    """One request and what the filters have learnt of it.

    Header names are in lower case. ``received_at`` and ``deadline`` are
    seconds of the monotonic clock. ``disconnected`` tells whether the
    caller has left. ``target`` is the path with its query as it came.
    """

    request_id: str
    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
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
    """What goes back to the caller.

    ``body`` is whole, or an iterator of pieces that are sent as they
    come; ``content_type`` and ``headers`` go into the head.
    """

    status: int
    body: bytes | Iterator[bytes] = b''
    content_type: str = 'application/json'
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


Handler: TypeAlias = Callable[[Exchange], Answer]


class Filter(abc.ABC):
    """One step of the chain; it may answer itself or ask what follows."""

    @abc.abstractmethod
    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Handle the exchange.

        Args:
            exchange: the request; the filter may add what it learns.
            following: the rest of the chain.

        Raises:
            GuavadykeError: the request is refused or failed.
        """


def chain(filters: Sequence[Filter], handler: Handler) -> Handler:
    """Return the handler behind the filters, the first outermost."""
    return functools.reduce(
        lambda following, one: functools.partial(
            one.apply,
            following=following,
        ),
        reversed(filters),
        handler,
    )
