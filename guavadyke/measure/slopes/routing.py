"""CPU cost of slot assignment and batch preemption, by engine count."""

from __future__ import annotations

import itertools
import random

from guavadyke.decisions.request_queue import PendingRequest
from guavadyke.decisions.slot import HostLocation
from guavadyke.decisions.slot_scheduler import SlotScheduler
from guavadyke.measure.slopes.catalogue import MODELS, ZONES, engine, snapshot
from guavadyke.measure.slopes.costs import cpu_us
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    PeerView,
)

SIZES = (300, 600, 1200, 2400)
_PEERS = 390
_ONLINE_SLOTS = 200
_REFRESHES = 3
_PREEMPTION_CHECKS = 20
_BATCH_SLOTS = 10
_DEADLINE_S = 1000
_QUEUE_LIMIT = 256


def online_slot_us(engines: int, seed: int) -> float:
    """Return the CPU time to assign and release an online slot, in us."""
    scheduler = _new_scheduler(engines, seed)
    numbers = itertools.count()

    def grant() -> None:
        number = next(numbers)
        pending_request = PendingRequest(
            entry_name=f'model-{number % MODELS}',
            key=str(number).encode(),
            deadline=_DEADLINE_S,
        )
        slot = scheduler.request(pending_request, 1)
        if slot is not None:
            scheduler.release(slot, 2)

    return cpu_us(grant, _ONLINE_SLOTS)


def refresh_us(engines: int, seed: int) -> float:
    """Return the CPU time to apply a new fleet snapshot, in us."""
    scheduler = _new_scheduler(engines, seed)
    catalogue = _catalogue(engines)
    return cpu_us(
        lambda: scheduler.refresh(catalogue, fleet_view()),
        _REFRESHES,
    )


def batch_slot_us(engines: int, seed: int) -> float:
    """Return the CPU time to find a slot for a batch item, in us."""
    scheduler = _new_scheduler(engines, seed)
    numbers = itertools.count()
    return cpu_us(
        lambda: scheduler.batch.acquire_slot(
            f'model-{next(numbers) % MODELS}', 1
        ),
        _BATCH_SLOTS,
    )


def preemption_us(engines: int, seed: int) -> float:
    """Return the CPU time to find batch items to preempt, in us.

    Before, the host has tried to start a batch item for each model.
    """
    scheduler = _new_scheduler(engines, seed)
    for number in range(MODELS):
        scheduler.batch.acquire_slot(f'model-{number}', 1)
    return cpu_us(
        lambda: (
            tuple(scheduler.assign_free_slots(2)),
            tuple(scheduler.batch.preempt_items(2)),
        ),
        _PREEMPTION_CHECKS,
    )


def _new_scheduler(engines: int, seed: int) -> SlotScheduler:
    scheduler = SlotScheduler(
        HostLocation('entry-0', 'zone-0'),
        random.Random(seed),
        _QUEUE_LIMIT,
    )
    scheduler.refresh(_catalogue(engines), fleet_view())
    return scheduler


def _catalogue(engines: int) -> CatalogueSnapshot:
    return CatalogueSnapshot(
        entries=snapshot(MODELS).entries,
        backend_servers={
            f'engine-{number}': engine(number) for number in range(engines)
        },
    )


def fleet_view() -> FleetSnapshot:
    """Return a host's snapshot of a fleet of 390 hosts in six zones."""
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
