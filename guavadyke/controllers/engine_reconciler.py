"""Brings engines to what the catalogue asks for, by fenced orders."""

from __future__ import annotations

import dataclasses
import json
import threading

import pydantic

from guavadyke.adapters.engine_order_client import (
    EngineOrderClient,
    OrderRefusedError,
    order_document,
)
from guavadyke.adapters.ports import BackendServerError, Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import BackendServerEntry
from guavadyke.controllers.assignment import RendezvousAssignment
from guavadyke.controllers.order_permits import OrderPermits
from guavadyke.decisions.model_placement import (
    LoadOrder,
    Order,
    Placement,
    is_managed,
    next_order,
    place,
)
from guavadyke.decisions.order_lease import (
    OrderLease,
    OrderLeasePolicy,
    OrderObject,
)
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.settings import OrderSettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    SnapshotCell,
)

ORDER_KIND = 'order'


@dataclasses.dataclass(frozen=True)
class ReconcilerDependencies:
    """What the controller works with; ``holder`` is this host's start."""

    settings: OrderSettings
    holder: str
    catalogue: SnapshotCell[CatalogueSnapshot]
    fleet: SnapshotCell[FleetSnapshot]
    assignment: RendezvousAssignment
    store: WriteConfirmingStore
    engines: EngineOrderClient
    clock: Clock
    logger: EventLogger


class _OrderDocument(pydantic.BaseModel):
    holder: str


class EngineReconciler:
    """A thread that reconciles the engines that fall to this host.

    Args:
        parts: what it works with.
    """

    def __init__(self, parts: ReconcilerDependencies) -> None:
        self._parts = parts
        self._leases: dict[str, OrderLease] = {}
        self._permits = OrderPermits(
            parts.settings,
            parts.store,
            parts.engines,
            parts.clock,
        )
        self._sent: dict[str, int] = {}
        self._placement = Placement({}, {})
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='orders',
            daemon=True,
        )

    def start(self) -> None:
        """Reconcile in the background."""
        self._thread.start()

    def close(self) -> None:
        """End after the present order; does not wait for it."""
        self._stop.set()

    def status(self) -> dict[str, object]:
        """Return which engines fall to this host, as JSON types."""
        return {
            'owned': sorted(self._leases),
            'sent': dict(self._sent),
            'short': dict(self._placement.short),
        }

    def step(self) -> None:
        """Look at each engine that falls to this host once."""
        catalogue = self._parts.catalogue.current
        self._placement = place(catalogue, self._parts.fleet.current.leaving)
        owned = {
            engine_id: server
            for engine_id, server in catalogue.backend_servers.items()
            if is_managed(server)
            and engine_id in self._placement.by_engine
            and self._parts.assignment.first(engine_id, server.zone)
        }
        self._leases = {
            engine_id: self._leases.get(engine_id) or self._lease(server)
            for engine_id, server in owned.items()
        }
        for engine_id, server in owned.items():
            self._reconcile(engine_id, server)

    def _run(self) -> None:
        while not self._stop.wait(self._parts.settings.interval_s):
            self.step()

    def _lease(self, server: BackendServerEntry) -> OrderLease:
        settings = self._parts.settings
        policy = OrderLeasePolicy(settings.lease_s, settings.lease_margin_s)
        return OrderLease(self._parts.holder, policy, fenced=server.fencing)

    def _reconcile(self, engine_id: str, server: BackendServerEntry) -> None:
        try:
            self._reconcile_once(engine_id, server)
        except (BackendServerError, GuavadykeError, OrderRefusedError) as error:
            self._parts.logger.info(
                'order_put_off',
                backend_server=engine_id,
                reason=error,
            )

    def _reconcile_once(
        self,
        engine_id: str,
        server: BackendServerEntry,
    ) -> None:
        state = self._parts.engines.state(server.address)
        if not state.loading:
            self._permits.loaded(engine_id)
        order = next_order(state, self._placement.by_engine[engine_id])
        if order is None:
            return
        stored = self._parts.store.read(ORDER_KIND, engine_id)
        lease = self._leases[engine_id]
        seen = OrderObject(0, '') if stored is None else _seen(stored)
        lease.see(seen, self._parts.clock.monotonic())
        if not lease.may_acquire(self._parts.clock.monotonic()):
            return
        if self._permitted(engine_id, order):
            self._order(engine_id, server, order, stored)

    def _order(
        self,
        engine_id: str,
        server: BackendServerEntry,
        order: Order,
        stored: StoredObject | None,
    ) -> None:
        """Take the fencing number, then send the order."""
        lease = self._leases[engine_id]
        asked_at = self._parts.clock.monotonic()
        version = self._take(engine_id, order, stored)
        lease.taken(version, asked_at)
        if not lease.may_send(version, self._parts.clock.monotonic()):
            return
        self._parts.engines.send(server.address, order, version)
        self._sent[engine_id] = self._sent.get(engine_id, 0) + 1
        self._parts.logger.info(
            'order_sent',
            backend_server=engine_id,
            fencing=version,
            **order_document(order),
        )

    def _take(
        self,
        engine_id: str,
        order: Order,
        stored: StoredObject | None,
    ) -> int:
        body = json.dumps({
            'holder': self._parts.holder,
            'order': order_document(order),
        }).encode()
        if stored is None:
            return self._parts.store.create(ORDER_KIND, engine_id, body).version
        return self._parts.store.update(stored, body).version

    def _permitted(self, engine_id: str, order: Order) -> bool:
        catalogue = self._parts.catalogue.current
        if isinstance(order, LoadOrder):
            return self._permits.take_load(engine_id, order.load, catalogue)
        return self._permits.take_unload(
            engine_id,
            order.load,
            catalogue,
            self._placement,
        )


def _seen(stored: StoredObject) -> OrderObject:
    try:
        document = _OrderDocument.model_validate_json(stored.body)
    except pydantic.ValidationError:
        return OrderObject(stored.version, 'unreadable')
    return OrderObject(stored.version, document.holder)
