"""Builders of whole fleets of entry hosts on an in-memory platform."""

from __future__ import annotations

import dataclasses
import json
import os
import random
import threading
import time
from collections.abc import Callable

import urllib3

from features import builders
from guavadyke.adapters import ports
from guavadyke.adapters.clock import SystemClock
from guavadyke.errors import (
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from guavadyke.fleet_service import FleetService
from guavadyke.http_application import HttpApplication
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings

TOKEN = 'operator-token'
FLEET_KEY = 'fleet-key'
EVENTUALLY_TIMEOUT_S = 30


class MemoryPlatform:
    """A platform in memory, which hosts access through a ``MemoryLink``."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 0
        self.objects: dict[tuple[str, str], ports.StoredObject] = {}
        self.events: list[tuple[str, ports.ObjectEvent]] = []
        self.listed: tuple[ports.ListedHost, ...] = ()

    def put(self, kind: str, name: str, body: bytes) -> ports.StoredObject:
        with self.changed:
            self.revision += 1
            stored = ports.StoredObject(kind, name, self.revision, body)
            self.objects[kind, name] = stored
            event = ports.ObjectEvent(name, self.revision, stored)
            self.events.append((kind, event))
            self.changed.notify_all()
            return stored

    def restore(
        self, objects: dict[tuple[str, str], ports.StoredObject]
    ) -> None:
        """Replace all objects by an old state, as when restoring a backup."""
        with self.changed:
            self.objects = dict(objects)
            self.events.clear()
            self.revision = max(
                (stored.version for stored in objects.values()),
                default=0,
            )
            self.changed.notify_all()


class MemoryLink:
    """One host's access to the platform, with injected faults.

    ``unreachable``: calls and watches fail. ``silent_watch``: watches
    deliver no events. ``lost_answers``: the number of next writes that are
    applied but whose response is lost. ``stale_objects``: what reads return
    in place of the current objects.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self.platform = platform
        self.unreachable = False
        self.silent_watch = False
        self.lost_answers = 0
        self.calls = 0
        self.stale_objects: dict[tuple[str, str], ports.StoredObject] | None = (
            None
        )

    def read(self, kind: str, name: str) -> ports.StoredObject | None:
        self._begin_call()
        return self._objects().get((kind, name))

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ports.ObjectListing:
        self._begin_call()
        with self.platform.changed:
            found = sorted(
                (
                    stored
                    for stored in self._objects().values()
                    if stored.kind == kind
                    and stored.name.startswith(prefix)
                    and stored.name > after
                ),
                key=lambda stored: stored.name,
            )
            revision = self.platform.revision
        page = found[:limit]
        if not bodies:
            page = [dataclasses.replace(one, body=b'') for one in page]
        return ports.ObjectListing(revision, tuple(page), len(found) > limit)

    def create(self, kind: str, name: str, body: bytes) -> ports.StoredObject:
        self._begin_call()
        with self.platform.changed:
            stored = self.platform.objects.get((kind, name))
            if stored is not None:
                raise ObjectConflictError('it exists', stored.version)
            return self._respond(self.platform.put(kind, name, body))

    def update(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> ports.StoredObject:
        self._begin_call()
        with self.platform.changed:
            stored = self.platform.objects.get((kind, name))
            current = 0 if stored is None else stored.version
            if current != version:
                raise ObjectConflictError('another version', current)
            return self._respond(self.platform.put(kind, name, body))

    def delete(self, kind: str, name: str, version: int) -> None:
        self._begin_call()
        with self.platform.changed:
            stored = self.platform.objects.get((kind, name))
            current = 0 if stored is None else stored.version
            if current != version:
                raise ObjectConflictError('another version', current)
            self.platform.objects.pop((kind, name))

    def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> ports.WatchAnswer:
        self._begin_call()
        until = time.monotonic() + min(wait_s, 1)
        while time.monotonic() < until:
            if self.unreachable:
                raise PlatformUnavailableError('cut off')
            if not self.silent_watch:
                events = self._events_since(kind, revision)
                if events:
                    return ports.WatchAnswer(events[-1].version, events)
            with self.platform.changed:
                self.platform.changed.wait(0.05)
        if self.platform.revision < revision:
            return ports.WatchAnswer(revision, (), expired=True)
        return ports.WatchAnswer(revision, ())

    def hosts(self) -> tuple[ports.ListedHost, ...]:
        self._begin_call()
        return self.platform.listed

    def _events_since(
        self,
        kind: str,
        revision: int,
    ) -> tuple[ports.ObjectEvent, ...]:
        with self.platform.changed:
            return tuple(
                event
                for event_kind, event in self.platform.events
                if event_kind == kind and event.version > revision
            )

    def _objects(self) -> dict[tuple[str, str], ports.StoredObject]:
        return (
            self.platform.objects
            if self.stale_objects is None
            else self.stale_objects
        )

    def _begin_call(self) -> None:
        self.calls += 1
        if self.unreachable:
            raise PlatformUnavailableError('cut off')

    def _respond(self, stored: ports.StoredObject) -> ports.StoredObject:
        if self.lost_answers:
            self.lost_answers -= 1
            raise PlatformOutcomeUnknownError('the answer was lost')
        return stored


class MemoryServers:
    """Backend servers by address, which report their load and run nothing."""

    def __init__(self) -> None:
        self.loads: dict[str, ports.ReportedLoad] = {}

    def send(self, call: ports.BackendCall) -> ports.BackendAnswer:
        raise ports.BackendServerError(
            ports.BackendFault.not_reached,
            'there is no server',
            not_run=True,
        )

    def load(self, address: str, timeout_s: float) -> ports.ReportedLoad:
        load = self.loads.get(address)
        if load is None:
            raise ports.BackendServerError(
                ports.BackendFault.not_reached,
                'there is no server',
                not_run=True,
            )
        return load


class OperatorClient:
    """HTTP client of one host's operator port."""

    def __init__(self, port: int, token: str = TOKEN) -> None:
        self.url = f'http://127.0.0.1:{port}'
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}
        self._pool = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        names = {name.replace('_', '-'): text for name, text in headers.items()}
        return self._pool.request(
            method,
            f'{self.url}/operator/{path}',
            body=None if body is None else json.dumps(body),
            headers={**self._headers, **names},
            timeout=20,
        )


class EntryHost:
    """A ``FleetService`` with its operator port, on an in-memory platform."""

    def __init__(
        self,
        host_id: str,
        zone: str,
        platform: MemoryPlatform,
        servers: ports.BackendServers,
        **overrides: object,
    ) -> None:
        settings = entry_settings(host_id, zone, **overrides)
        self.zone = zone
        self.host_id = host_id
        self.link = MemoryLink(platform)
        logger = EventLogger(host=host_id, zone=zone)
        clock = SystemClock()
        self.service = FleetService(
            settings,
            clock,
            random.Random(host_id),
            self.link,
            servers,
            logger,
        )
        self.http = HttpServer(
            HttpApplication(self.service.operator_routes(), clock, logger),
            HttpServerSettings(settings.operator.listen, threads=8),
        )
        self.operator = OperatorClient(self.http.port)

    def start(self) -> None:
        self.http.start()
        self.service.start()

    def alive(self) -> set[str]:
        return {
            peer.host_id
            for peer in self.service.fleet.current.peers
            if peer.state == 'alive'
        }

    def peers(self) -> set[str]:
        """Return the listed peers that have not left."""
        return {
            peer.host_id
            for peer in self.service.fleet.current.peers
            if peer.state != 'left'
        }

    def close(self) -> None:
        self.http.close()
        self.service.close()


def entry_settings(
    host_id: str,
    zone: str,
    **overrides: object,
) -> EntrySettings:
    """Return settings with short intervals, so that failures show quickly."""
    os.environ['GUAVADYKE_OPERATOR_TOKEN'] = TOKEN
    os.environ['GUAVADYKE_FLEET_KEY'] = FLEET_KEY
    document = builders.entry_settings_document()
    document.update({'host_id': host_id, 'zone': zone})
    peer = dict(document['peer'])  # type: ignore[call-overload]
    peer.update(
        probe_interval_s=0.2,
        probe_timeout_s=0.2,
        suspicion_s=1.5,
    )
    document['peer'] = peer | dict(overrides.pop('peer', {}))  # type: ignore[call-overload]
    document['platform'] = {
        'url': 'http://127.0.0.1:7000',
        'relist_interval_s': overrides.pop('relist_interval_s', 2),
        'watch_wait_s': 1,
    }
    document.update(overrides)
    return EntrySettings.model_validate(document)


def start_fleet(
    platform: MemoryPlatform,
    servers: ports.BackendServers,
    zones: dict[str, int],
    **overrides: object,
) -> list[EntryHost]:
    """Start hosts, which find each other by the platform's host list.

    ``zones`` gives the number of hosts in each zone.
    """
    hosts = [
        EntryHost(
            f'{zone}-{number}',
            zone,
            platform,
            servers,
            **overrides,
        )
        for zone, count in zones.items()
        for number in range(count)
    ]
    platform.listed = tuple(
        ports.ListedHost(
            host.host_id,
            'entry',
            '',
            host.service.peer_address,
            leaving=False,
        )
        for host in hosts
    )
    for host in hosts:
        host.start()
    return hosts


def eventually(condition: Callable[[], bool], expectation: str) -> None:
    """Wait until the condition holds; fail after 30 seconds."""
    until = time.monotonic() + EVENTUALLY_TIMEOUT_S
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(
        f'did not happen in {EVENTUALLY_TIMEOUT_S} s: {expectation}'
    )


def owner_entry() -> dict[str, object]:
    """Return an owner's document."""
    return {'kind': 'owner'}


def model_entry(
    owner: str = 'lammikko', **overrides: object
) -> dict[str, object]:
    """Return a model entry's document."""
    return {
        'kind': 'model',
        'owner': owner,
        'class': 'both',
        'model': 'sorter',
        **overrides,
    }


def server_entry(
    address: str,
    zone: str = 'north',
    **overrides: object,
) -> dict[str, object]:
    """Return a backend server's document."""
    return {
        'kind': 'backend_server',
        'zone': zone,
        'address': address,
        **overrides,
    }
