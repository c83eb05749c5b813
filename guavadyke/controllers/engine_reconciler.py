"""Sends fenced orders that make engines hold the models of the catalogue."""

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
    place_models,
)
from guavadyke.decisions.order_lease import (
    OrderLease,
    OrderLeasePolicy,
    OrderObject,
)
from guavadyke.errors import GuavadykeError
from guavadyke.guarded_threads import GuardedThread
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
    """Dependencies of the engine reconciler.

    ``holder`` identifies this host and its incarnation in leases.
    """

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
    """A thread that reconciles the engines assigned to this host.

    It compares the models that an engine holds with the placement that the
    catalogue asks for, and sends one load or unload order at a time.

    Args:
        deps: settings, snapshots, the platform and access to the engines.
    """

    def __init__(self, deps: ReconcilerDependencies) -> None:
        self._deps = deps
        self._leases: dict[str, OrderLease] = {}
        self._permits = OrderPermits(
            deps.settings,
            deps.store,
            deps.engines,
            deps.clock,
        )
        self._sent_counts: dict[str, int] = {}
        self._placement = Placement({}, {})
        self._stop = threading.Event()
        self._thread = GuardedThread(
            self._run, 'orders', self._stop, deps.logger
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after its current round, without waiting for it."""
        self._stop.set()

    def status(self) -> dict[str, object]:
        """Return the status for the operator port, as JSON types.

        It holds the engines assigned to this host, the number of orders
        sent to each engine, and by model the replicas that lack an engine.
        """
        return {
            'owned': sorted(self._leases),
            'sent': dict(self._sent_counts),
            'short': dict(self._placement.short),
        }

    def step(self) -> None:
        """Compute the placement and reconcile each assigned engine once."""
        catalogue = self._deps.catalogue.current
        self._placement = place_models(
            catalogue, self._deps.fleet.current.leaving
        )
        owned = {
            engine_id: server
            for engine_id, server in catalogue.backend_servers.items()
            if is_managed(server)
            and engine_id in self._placement.by_engine
            and self._deps.assignment.is_assigned(engine_id, server.zone)
        }
        self._leases = {
            engine_id: self._leases.get(engine_id) or self._new_lease(server)
            for engine_id, server in owned.items()
        }
        for engine_id, server in owned.items():
            self._reconcile(engine_id, server)

    def _run(self) -> None:
        while not self._stop.wait(self._deps.settings.interval_s):
            self.step()

    def _new_lease(self, server: BackendServerEntry) -> OrderLease:
        settings = self._deps.settings
        policy = OrderLeasePolicy(settings.lease_s, settings.lease_margin_s)
        return OrderLease(self._deps.holder, policy, fenced=server.fencing)

    def _reconcile(self, engine_id: str, server: BackendServerEntry) -> None:
        try:
            self._reconcile_once(engine_id, server)
        except (BackendServerError, GuavadykeError, OrderRefusedError) as error:
            self._deps.logger.info(
                'order_postponed',
                backend_server=engine_id,
                reason=error,
            )

    def _reconcile_once(
        self,
        engine_id: str,
        server: BackendServerEntry,
    ) -> None:
        state = self._deps.engines.state(server.address)
        if not state.loading:
            self._permits.release_load(engine_id)
        order = next_order(state, self._placement.by_engine[engine_id])
        if order is None:
            return
        stored = self._deps.store.read(ORDER_KIND, engine_id)
        lease = self._leases[engine_id]
        seen = OrderObject(0, '') if stored is None else _seen_orders(stored)
        lease.observe(seen, self._deps.clock.monotonic())
        if not lease.may_acquire(self._deps.clock.monotonic()):
            return
        if self._acquire_permit(engine_id, order):
            self._send_order(engine_id, server, order, stored)

    def _send_order(
        self,
        engine_id: str,
        server: BackendServerEntry,
        order: Order,
        stored: StoredObject | None,
    ) -> None:
        """Obtain a fencing number, then send the order with it.

        Nothing is sent if the lease expired meanwhile.
        """
        lease = self._leases[engine_id]
        asked_at = self._deps.clock.monotonic()
        version = self._take_fencing_number(engine_id, order, stored)
        lease.acquired(version, asked_at)
        if not lease.may_send(version, self._deps.clock.monotonic()):
            return
        self._deps.engines.send(server.address, order, version)
        self._sent_counts[engine_id] = self._sent_counts.get(engine_id, 0) + 1
        self._deps.logger.info(
            'order_sent',
            backend_server=engine_id,
            fencing=version,
            **order_document(order),
        )

    def _take_fencing_number(
        self,
        engine_id: str,
        order: Order,
        stored: StoredObject | None,
    ) -> int:
        """Write the engine's order object; its new version is the number."""
        body = json.dumps({
            'holder': self._deps.holder,
            'order': order_document(order),
        }).encode()
        if stored is None:
            return self._deps.store.create(ORDER_KIND, engine_id, body).version
        return self._deps.store.update(stored, body).version

    def _acquire_permit(self, engine_id: str, order: Order) -> bool:
        catalogue = self._deps.catalogue.current
        if isinstance(order, LoadOrder):
            return self._permits.acquire_load(engine_id, order.load, catalogue)
        return self._permits.acquire_unload(
            engine_id,
            order.load,
            catalogue,
            self._placement,
        )


def _seen_orders(stored: StoredObject) -> OrderObject:
    try:
        document = _OrderDocument.model_validate_json(stored.body)
    except pydantic.ValidationError:
        return OrderObject(stored.version, 'unreadable')
    return OrderObject(stored.version, document.holder)
