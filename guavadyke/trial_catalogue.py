"""Catalogue of a small fleet for measurements, the demo and tests."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping

CHAT_ENTRY = 'chat'
SERVICE_ENTRY = 'reservations'
OWNER = 'pesebres'
SERVICE_NAME = 'desk-service'


@dataclasses.dataclass(frozen=True)
class EngineLocation:
    """Zone, address as ``IP:PORT`` and number of slots of an engine."""

    zone: str
    address: str
    slots: int = 8


@dataclasses.dataclass(frozen=True)
class TrialFleet:
    """Servers and policy of a small fleet.

    ``engines`` has the engines by name, ``service_address`` is the address
    of the plain service as ``IP:PORT``, ``key`` the caller key of the owner
    and ``tail_weight`` a value of the fleet's policy.
    """

    engines: Mapping[str, EngineLocation]
    service_address: str
    key: str
    tail_weight: float = 0.7


def trial_catalogue(fleet: TrialFleet) -> dict[str, dict[str, object]]:
    """Return catalogue objects by name, referenced objects first."""
    entry = {'owner': OWNER, 'class': 'both'}
    key_hash = hashlib.sha256(fleet.key.encode()).hexdigest()
    first = next(iter(fleet.engines.values()))
    return {
        'policy': {'kind': 'policy', 'tail_weight': fleet.tail_weight},
        OWNER: {'kind': 'owner', 'key_hashes': [key_hash]},
        CHAT_ENTRY: {'kind': 'model', 'model': 'small', **entry},
        SERVICE_ENTRY: {'kind': 'service', 'idempotent': False, **entry},
        **{
            name: _engine_object(location)
            for name, location in fleet.engines.items()
        },
        SERVICE_NAME: {
            'kind': 'backend_server',
            'role': 'service',
            'zone': first.zone,
            'address': fleet.service_address,
            'serves': [SERVICE_ENTRY],
        },
    }


def _engine_object(location: EngineLocation) -> dict[str, object]:
    return {
        'kind': 'backend_server',
        'zone': location.zone,
        'address': location.address,
        'serves': [CHAT_ENTRY],
        'slots': location.slots,
    }
