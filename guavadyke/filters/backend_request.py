"""Requests as the attempts at backend servers see them."""

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
class Work:
    """One request that is to run on a backend server.

    ``deadline`` is seconds of the monotonic clock; ``abandoned`` tells
    whether nobody waits for the answer any more; ``kept`` whether a call
    that has begun goes on even then, since its outcome is wanted.
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
    kept: bool = False

    @property
    def chat(self) -> bool:
        """Whether the request is a chat."""
        return self.path == CHAT_PATH


class SlotSource(Protocol):
    """Where the attempts at a request get their slots."""

    def acquire(self, excluded: frozenset[str]) -> Slot:
        """Return a slot, if possible not of an excluded server.

        Raises:
            GuavadykeError: there is none; this attempt did not run.
        """
        ...


@dataclasses.dataclass(frozen=True)
class AttemptTools:
    """What attempts at backend servers share on one host."""

    settings: OnlineSettings
    clock: Clock
    servers: BackendServers
    capacity: SlotPool
    watch: CallerWatch
    retries: RetryPolicy
    metrics: HostMetrics
    logger: EventLogger
