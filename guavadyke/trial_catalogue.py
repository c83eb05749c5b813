"""Catalogue objects of a small fleet for trials, the demo and tests."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping

CHAT_ENTRY = 'chat'
SERVICE_ENTRY = 'reservations'
OWNER = 'pesebres'
SERVICE_NAME = 'desk-service'


@dataclasses.dataclass(frozen=True)
class EnginePlace:
    """Where an engine is, as IP:PORT, and how many requests it runs."""

    zone: str
    address: str
    slots: int = 8


@dataclasses.dataclass(frozen=True)
class TrialFleet:
    """What the catalogue of a small fleet describes.

    ``service_address`` is IP:PORT of the plain service, ``key`` the
    owner's caller key; ``tail_weight`` is the fleet's policy.
    """

    engines: Mapping[str, EnginePlace]
    service_address: str
    key: str
    tail_weight: float = 0.7


def trial_catalogue(fleet: TrialFleet) -> dict[str, dict[str, object]]:
    """Return catalogue objects by name, in an order that can be put."""
    entry = {'owner': OWNER, 'class': 'both'}
    key_hash = hashlib.sha256(fleet.key.encode()).hexdigest()
    first = next(iter(fleet.engines.values()))
    return {
        'policy': {'kind': 'policy', 'tail_weight': fleet.tail_weight},
        OWNER: {'kind': 'owner', 'key_hashes': [key_hash]},
        CHAT_ENTRY: {'kind': 'model', 'model': 'small', **entry},
        SERVICE_ENTRY: {'kind': 'service', 'idempotent': False, **entry},
        **{name: _engine(place) for name, place in fleet.engines.items()},
        SERVICE_NAME: {
            'kind': 'backend_server',
            'role': 'service',
            'zone': first.zone,
            'address': fleet.service_address,
            'serves': [SERVICE_ENTRY],
        },
    }


def _engine(place: EnginePlace) -> dict[str, object]:
    return {
        'kind': 'backend_server',
        'zone': place.zone,
        'address': place.address,
        'serves': [CHAT_ENTRY],
        'slots': place.slots,
    }
