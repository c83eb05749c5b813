"""Parts of a host that raise errors which are not the project's."""

from __future__ import annotations

import dataclasses
import functools
import inspect
import itertools
import os
import random
import time
from collections.abc import Callable
from typing import Any
from unittest import mock

import pykka

from features import builders_forward as build
from features.builders_forward_runner import RunnerBench, host_settings
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.peer_port import PeerPort
from guavadyke.controllers.catalogue import (
    CatalogueController,
    CatalogueState,
    DifferingVersionsQuery,
)
from guavadyke.controllers.membership import (
    FleetCells,
    MembershipController,
    PeerEvents,
)
from guavadyke.controllers.membership_messages import FleetStateQuery
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_records import listings
from guavadyke.log import EventLogger
from guavadyke.membership_service import MembershipService
from guavadyke.part_health import PartHealth
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell


class UnexpectedError(ValueError):
    """An error that no part of the project expects."""


def raising(
    function: Callable[..., Any], failing: Callable[..., bool]
) -> Callable[..., Any]:
    """Return a function that raises an error where ``failing`` holds."""

    @functools.wraps(function)
    def call(*args: Any, **named: Any) -> Any:
        if failing(*args, **named):
            raise UnexpectedError('broken by the test')
        return function(*args, **named)

    return call


def first_calls(count: int) -> Callable[..., bool]:
    """Return a condition that holds for the first calls."""
    calls = itertools.count(1)
    return lambda *_args, **_named: next(calls) <= count


def break_reads(
    bench: RunnerBench, failing: Callable[..., bool]
) -> build.RecordingLogger:
    """Let reads of results fail where ``failing`` holds; return the log."""
    store: Any = bench.host.store
    store.pages = raising(store.pages, failing)
    assert isinstance(bench.logger, build.RecordingLogger)
    return bench.logger


def accept_named(bench: RunnerBench, job_id: str, items: int) -> None:
    """Let a bench accept a job whose items have its id in their names."""
    plain = build.job(job_id, items=items, accepted_at=time.time())
    job = dataclasses.replace(
        plain,
        items=tuple(
            dataclasses.replace(item, item_id=f'{job_id}-{item.item_id}')
            for item in plain.items
        ),
    )
    bench.host.store.create(job)
    bench.host.registry.accepted(job)


def completed(bench: RunnerBench, job_id: str) -> int:
    """Return the number of items of a job that are stored as completed."""
    fresh = build.job_host(bench.platform, 'reader')
    return sum(one.completed for one in listings(fresh.store.pages(job_id)))


@dataclasses.dataclass(frozen=True)
class NoMessage:
    """A message that no actor knows."""


def break_ticks(bench: RunnerBench, failing: Callable[..., bool]) -> None:
    """Let ticks of the runner fail where ``failing`` holds."""
    registry: Any = bench.host.registry
    registry.views = raising(registry.views, failing)


def catalogue_actor(
    logger: EventLogger,
) -> tuple[pykka.ActorRef[Any], object]:
    """Return a catalogue controller and a question that it can answer."""
    actor = CatalogueController.start(
        SnapshotCell(CatalogueSnapshot()),
        SnapshotCell(CatalogueState()),
        logger,
        lambda _offered: None,
    )
    return actor, DifferingVersionsQuery(())


def membership_actor(
    logger: EventLogger,
) -> tuple[pykka.ActorRef[Any], object]:
    """Return a membership controller and a question that it can answer."""
    deps: Any = mock.MagicMock()
    deps.health = PartHealth('membership', logger)
    deps.membership.member_list.members = {}
    return MembershipController.start(deps), FleetStateQuery()


def break_tracker(
    name: str, failing: Callable[..., bool]
) -> Callable[[], None]:
    """Let a member of all jobs' trackers raise where ``failing`` holds.

    Returns:
        A function that mends it again.
    """
    plain = inspect.getattr_static(JobItemTracker, name)
    getter = plain.fget if isinstance(plain, property) else plain
    broken: Any = raising(getter, failing)
    if isinstance(plain, property):
        broken = property(broken)
    patch = mock.patch.object(JobItemTracker, name, broken)
    patch.start()
    return patch.stop


def membership_service() -> MembershipService:
    """Return the membership of a host without a fleet, not started."""
    settings = host_settings(1)
    fleet = SnapshotCell(FleetSnapshot())
    clock = SystemClock()
    with mock.patch.dict(os.environ, GUAVADYKE_FLEET_KEY='fleet-key'):
        port = PeerPort(settings, fleet, clock, EventLogger())
    return MembershipService(
        settings.peer,
        port,
        FleetCells(SnapshotCell(CatalogueSnapshot()), fleet, SnapshotCell({})),
        PeerEvents(lambda _address: None, lambda _address: None),
        clock,
        random.Random(7),
        EventLogger(),
    )
