"""Requests to backend servers, and the dependencies of their attempts."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from guavadyke.adapters.ports import BackendServers, Clock
from guavadyke.decisions.slot import Slot
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.filters.retry_policy import RetryPolicy
from guavadyke.filters.slot_pool import SlotPool
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import OnlineSettings

CHAT_PATH = '/v1/chat/completions'
COMPLETIONS_PATH = '/v1/completions'


@dataclasses.dataclass(frozen=True)
class BackendRequest:
    """One request to run on a backend server.

    ``deadline`` is seconds of the monotonic clock; ``abandoned`` returns
    whether nobody waits for the answer any more.
    ``completes_if_abandoned`` tells whether a call that has begun
    continues even then, because its outcome must be known.
    """

    request_id: str
    entry_name: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    idempotent: bool
    deadline: float
    abandoned: Callable[[], bool]
    document: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    completes_if_abandoned: bool = False

    @property
    def chat(self) -> bool:
        """Whether the request is a chat completion."""
        return self.path == CHAT_PATH


class SlotSource(Protocol):
    """Allocates slots for the attempts at a request."""

    def acquire(self, excluded: frozenset[str]) -> Slot:
        """Return a slot, preferably not at an excluded server.

        Raises:
            GuavadykeError: no slot is available; the attempt was not sent.
        """
        ...

    def reserve(self, excluded: frozenset[str]) -> Slot | None:
        """Return a free slot at a server that is not excluded.

        Returns None at once if there is none.
        """
        ...


@dataclasses.dataclass(frozen=True)
class AttemptTools:
    """Settings and services that all attempts on one host share."""

    settings: OnlineSettings
    clock: Clock
    servers: BackendServers
    capacity: SlotPool
    watch: CallerWatch
    retries: RetryPolicy
    metrics: HostMetrics
    logger: EventLogger
