"""CPU cost of assigning engines to hosts, by number of engines."""

from __future__ import annotations

from itertools import starmap

from guavadyke.controllers.assignment import RendezvousAssignment
from guavadyke.measure.slopes.catalogue import ZONES
from guavadyke.measure.slopes.costs import cpu_us
from guavadyke.measure.slopes.routing import fleet_view
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import SnapshotCell

SIZES = (100, 200, 400, 800)
_ROUNDS = 2


def assignment_round_us(engines: int, seed: int) -> float:
    """Return the CPU time to check the assignment of all engines, in us."""
    assignment = RendezvousAssignment(_settings(), SnapshotCell(fleet_view()))
    keys = [
        (f'engine-{number}', f'zone-{number % ZONES}')
        for number in range(engines)
    ]
    return cpu_us(
        lambda: list(starmap(assignment.is_assigned, keys)),
        _ROUNDS,
    )


def _settings() -> EntrySettings:
    any_port = {'ip': '127.0.0.1', 'port': 0}
    secret = {'environment': 'UNUSED'}
    return EntrySettings.model_validate({
        'host_id': 'entry-0',
        'zone': 'zone-0',
        'caller': {'listen': any_port},
        'operator': {'listen': any_port, 'token': secret},
        'peer': {'listen': any_port, 'fleet_key': secret},
        'platform': {'url': 'http://127.0.0.1:1'},
    })
