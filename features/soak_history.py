"""What a soak's callers and engines saw, and what was done to it."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

# Bound of the stand-in fleet on configurations and leaving engines.
IN_FORCE_S = 2.0
# What the clocks of callers and engines may add to a measured time.
SLACK_S = 0.25
# A host hears nothing from the platform meanwhile.
_DEAF_KINDS = frozenset((
    'killed',
    'paused',
    'restarted',
    'platform_silent',
    'platform_rejects',
))


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request; ``status`` is 0 if no whole answer came.

    ``own`` is whether the body is the whole answer to this request. ``kind``
    is stream, once (not idempotent), kept (not idempotent, on a connection
    that is used until its host closes it), probe (of an added route), last
    (after all faults) or team (under a key that is named by ``key``). Times are
    in seconds of the soak.
    """

    kind: str
    request_id: str
    host: int
    path: str
    sent_s: float
    ended_s: float
    status: int
    own: bool = True
    key: str = ''


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that an engine began to answer.

    ``team`` is the team that it was told, ``key_seen`` whether it was sent
    credentials.
    """

    request_id: str
    engine: str
    at_s: float
    team: str = ''
    key_seen: bool = False


@dataclasses.dataclass(frozen=True)
class EngineEnd:
    """An engine that has ended.

    ``cause`` is the name in a prompt that crashed it, empty if none did.
    ``running`` are the names in the prompts that it was answering and
    ``requests`` their ids.
    """

    engine: str
    at_s: float
    cause: str = ''
    running: frozenset[str] = frozenset()
    requests: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class SoakItem:
    """An item of a job; ``names`` are those in its prompt, see prompt_names."""

    item_id: str
    names: tuple[str, ...]


@dataclasses.dataclass
class SoakJob:
    """An accepted job.

    ``end_asked`` is whether its caller has cancelled it, ``ended_s`` when that
    was confirmed, infinity if it was not.
    """

    job_id: str
    items: tuple[SoakItem, ...]
    accepted_s: float
    end_asked: bool = False
    ended_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class ListedItem:
    """An item as a host lists it; ``state`` is completed or dead_letter."""

    item_id: str
    state: str
    text: str


@dataclasses.dataclass(frozen=True)
class Listing:
    """What a host lists of a job, from its first position on.

    ``final`` is whether it was read after everything else, ``sent_s`` when it
    was asked for, ``unknown`` whether the host knew of no such job.
    """

    job_id: str
    host: int
    read_s: float
    listed: tuple[ListedItem, ...]
    final: bool = False
    sent_s: float = 0
    unknown: bool = False


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A fault as it took place; ``hosts`` is empty for the whole fleet."""

    kind: str
    began_s: float
    ended_s: float
    hosts: frozenset[int] = frozenset()

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Return whether the fault was there in a time."""
        return self.began_s <= to_s and from_s <= self.ended_s


@dataclasses.dataclass
class History:
    """All that callers and engines saw, and what was done to the fleet.

    ``routes`` has the time at which each added path was written, ``left`` the
    time at which each engine's entry was removed, ``results`` the ids of
    completed items as they are listed, ``ended`` a line for each process that
    ended by itself or did not stop. A change has to be in force after
    ``in_force_s`` seconds. All faults were over at ``calm_s``, and results of
    ``jobs`` were read until ``read_until_s``. ``teams`` are those of the keys
    by the names of these, and one key was removed at ``key_removed_s``.
    """

    hosts: int
    in_force_s: float = IN_FORCE_S
    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    routes: dict[str, float] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    items: list[str] = dataclasses.field(default_factory=list)
    results: list[str] = dataclasses.field(default_factory=list)
    ended: list[str] = dataclasses.field(default_factory=list)
    ends: list[EngineEnd] = dataclasses.field(default_factory=list)
    jobs: list[SoakJob] = dataclasses.field(default_factory=list)
    listings: list[Listing] = dataclasses.field(default_factory=list)
    teams: dict[str, str] = dataclasses.field(default_factory=dict)
    key_removed_s: float = math.inf
    calm_s: float = 0
    read_until_s: float = 0


def is_late(
    history: History, hosts: set[int], since_s: float, at_s: float
) -> bool:
    """Return whether hosts should have known of a change by a time.

    A paused host has its time from when it goes on; nothing is owed while no
    host hears the platform.
    """
    began_s = since_s
    for trouble in history.troubles:
        paused = trouble.kind == 'paused' and trouble.hosts & hosts
        if paused and trouble.overlaps(since_s, at_s):
            began_s = max(began_s, trouble.ended_s)
    deaf = _times_without_platform(history, since_s, at_s)
    return not deaf and at_s > began_s + history.in_force_s + SLACK_S


def _times_without_platform(
    history: History, from_s: float, to_s: float
) -> list[float]:
    """Return the moments in a time at which a fault left no host hearing."""
    near = [one for one in history.troubles if one.overlaps(from_s, to_s)]
    moments = [from_s, *(one.began_s for one in near if one.began_s > from_s)]
    return [
        moment
        for moment in moments
        if len(_unhearing(near, moment)) == history.hosts
    ]


def _unhearing(troubles: Iterable[Trouble], moment: float) -> frozenset[int]:
    return frozenset().union(
        *(
            trouble.hosts
            for trouble in troubles
            if trouble.kind in _DEAF_KINDS
            and trouble.began_s <= moment <= trouble.ended_s
        )
    )


def in_touch_since(
    history: History,
    since_s: float,
    bound_s: float,
    host: int | None = None,
) -> float:
    """Return when a time began that every host hears the platform throughout.

    Args:
        history: has the faults.
        since_s: the time begins no sooner.
        bound_s: its length.
        host: the only host that has to hear it, None for all.
    """
    for trouble in sorted(history.troubles, key=_began):
        is_deaf = trouble.kind in _DEAF_KINDS and (
            host is None or host in trouble.hosts
        )
        if is_deaf and trouble.overlaps(since_s, since_s + bound_s):
            since_s = max(since_s, trouble.ended_s)
    return since_s


def _began(trouble: Trouble) -> float:
    return trouble.began_s
