"""Cost of engine choice and batch preemption, by the number of engines."""

from __future__ import annotations

import itertools
import random

from guavadyke.decisions.request_queue import PendingRequest
from guavadyke.decisions.slot import HostLocation
from guavadyke.decisions.slot_scheduler import SlotScheduler
from guavadyke.measure.slopes.catalogue import MODELS, ZONES, engine, snapshot
from guavadyke.measure.slopes.costs import processor_us
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    PeerView,
)

SIZES = (300, 600, 1200, 2400)
_PEERS = 390
_REQUESTS = 200
_REFRESHES = 3
_SETTLES = 20
_TAKES = 10
_DEADLINE_S = 1000
_QUEUE = 256


def choose_us(engines: int, seed: int) -> float:
    """Return microseconds of processor time to grant and release a slot."""
    table = _table(engines, seed)
    numbers = itertools.count()

    def grant() -> None:
        number = next(numbers)
        pending_request = PendingRequest(
            entry_name=f'model-{number % MODELS}',
            key=str(number).encode(),
            deadline=_DEADLINE_S,
        )
        slot = table.request(pending_request, 1)
        if slot is not None:
            table.release(slot, 2)

    return processor_us(grant, _REQUESTS)


def refresh_us(engines: int, seed: int) -> float:
    """Return microseconds of processor time to take a new view of peers."""
    table = _table(engines, seed)
    catalogue = _catalogue(engines)
    return processor_us(
        lambda: table.refresh(catalogue, fleet_view()),
        _REFRESHES,
    )


def take_us(engines: int, seed: int) -> float:
    """Return microseconds of processor time to find a batch item a slot."""
    table = _table(engines, seed)
    numbers = itertools.count()
    return processor_us(
        lambda: table.batch.take(f'model-{next(numbers) % MODELS}', 1),
        _TAKES,
    )


def settle_us(engines: int, seed: int) -> float:
    """Return microseconds of processor time to look what batch must yield.

    The host has tried to start a batch item for each model.
    """
    table = _table(engines, seed)
    for number in range(MODELS):
        table.batch.take(f'model-{number}', 1)
    return processor_us(
        lambda: (
            tuple(table.assign_free_slots(2)),
            tuple(table.batch.yielding(2)),
        ),
        _SETTLES,
    )


def _table(engines: int, seed: int) -> SlotScheduler:
    table = SlotScheduler(
        HostLocation('entry-0', 'zone-0'),
        random.Random(seed),
        _QUEUE,
    )
    table.refresh(_catalogue(engines), fleet_view())
    return table


def _catalogue(engines: int) -> CatalogueSnapshot:
    return CatalogueSnapshot(
        entries=snapshot(MODELS).entries,
        backend_servers={
            f'engine-{number}': engine(number) for number in range(engines)
        },
    )


def fleet_view() -> FleetSnapshot:
    """Return a view of a fleet of 390 hosts in six zones."""
    return FleetSnapshot(
        peers=tuple(
            PeerView(
                host_id=f'entry-{number}',
                zone=f'zone-{number % ZONES}',
                region='region-0',
                address=f'10.0.{number // 250}.{number % 250 + 1}:7300',
                state='alive',
                incarnation=1,
                age_s=0,
            )
            for number in range(1, _PEERS)
        ),
    )
