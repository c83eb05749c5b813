"""Operator routes: the state of the fleet and drains of backend servers."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from guavadyke.adapters.ports import BackendServerError, BackendServers
from guavadyke.catalogue import BackendServerEntry
from guavadyke.controllers.leaving_watch import DrainService
from guavadyke.decisions.leaving_servers import LeavingMark
from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange, Filter, chain
from guavadyke.http_application import Route, json_answer
from guavadyke.snapshots import CatalogueSnapshot, PeerView, SnapshotCell

_LOAD_TIMEOUT_S = 1.0
_SERVER_PATH = '/operator/backend-servers/(?P<backend_id>[^/]+)'

StatusSource = Callable[[], Mapping[str, object]]


class FleetRoutes:
    """Handlers of fleet status and drains on the operator port.

    Args:
        status: returns this host's view of the fleet as JSON types.
        catalogue: the catalogue in force on this host.
        drains: starts and cancels drains of backend servers.
        servers: fetches load reports of backend servers.
    """

    def __init__(
        self,
        status: StatusSource,
        catalogue: SnapshotCell[CatalogueSnapshot],
        drains: DrainService,
        servers: BackendServers,
    ) -> None:
        self._get_status = status
        self._catalogue = catalogue
        self._drains = drains
        self._servers = servers

    def routes(self, filters: Sequence[Filter]) -> list[Route]:
        """Return the routes, each behind the filters."""
        return [
            Route('/operator/fleet', {'GET': chain(filters, self.fleet)}),
            Route(
                f'{_SERVER_PATH}/drain',
                {
                    'POST': chain(filters, self.drain),
                    'DELETE': chain(filters, self.cancel_drain),
                },
            ),
            Route(_SERVER_PATH, {'GET': chain(filters, self.show_server)}),
        ]

    def fleet(self, exchange: Exchange) -> Answer:
        """Answer with this host's view of the fleet."""
        return json_answer(self._get_status())

    def drain(self, exchange: Exchange) -> Answer:
        """Start a drain: mark a backend server as leaving.

        All reachable hosts get the mark. The status is 200 if the mark has
        been stored, 202 if not.
        """
        return self._set_leaving(exchange, leaving=True)

    def cancel_drain(self, exchange: Exchange) -> Answer:
        """Cancel a drain that an operator started."""
        return self._set_leaving(exchange, leaving=False)

    def show_server(self, exchange: Exchange) -> Answer:
        """Answer with a backend server's marks and its load report."""
        backend_id = exchange.path_parts['backend_id']
        server = self._find_server(backend_id)
        marks = self._drains.marks_of(backend_id)
        return json_answer({
            'id': backend_id,
            'zone': server.zone,
            'address': server.address,
            'leaving': server.leaving or any(mark.leaving for mark in marks),
            'marks': mark_documents(marks),
            'load': self._fetch_load(server.address),
        })

    def _set_leaving(self, exchange: Exchange, *, leaving: bool) -> Answer:
        backend_id = exchange.path_parts['backend_id']
        self._find_server(backend_id)
        headers = exchange.headers
        durable = self._drains.set_leaving(
            backend_id,
            leaving=leaving,
            who=headers.get('guavadyke-operator', 'operator'),
            why=headers.get('guavadyke-reason', ''),
        )
        return json_answer(
            {'id': backend_id, 'leaving': leaving, 'durable': durable},
            status=200 if durable else 202,
        )

    def _find_server(self, backend_id: str) -> BackendServerEntry:
        server = self._catalogue.current.backend_servers.get(backend_id)
        if server is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                f'there is no backend server {backend_id}',
                findings=(Finding('path', 'unknown backend server'),),
            )
        return server

    def _fetch_load(self, address: str) -> dict[str, object] | None:
        try:
            load = self._servers.load(address, _LOAD_TIMEOUT_S)
        except BackendServerError:
            return None
        return dataclasses.asdict(load)


def mark_documents(marks: Iterable[LeavingMark]) -> list[dict[str, object]]:
    """Return the marks as JSON types."""
    return [
        {
            'id': mark.backend_id,
            'source': str(mark.source),
            'leaving': mark.leaving,
            'version': mark.version,
        }
        for mark in marks
    ]


def peer_document(peer: PeerView) -> dict[str, object]:
    """Return the peer as JSON types."""
    return {**dataclasses.asdict(peer), 'age_s': round(peer.age_s, 2)}


def server_documents(
    catalogue: CatalogueSnapshot,
    leaving: frozenset[str],
) -> list[dict[str, object]]:
    """Return the backend servers as JSON types."""
    return [
        {
            'id': server_id,
            'zone': server.zone,
            'role': server.role,
            'address': server.address,
            'serves': list(server.serves),
            'leaving': server_id in leaving,
        }
        for server_id, server in sorted(catalogue.backend_servers.items())
    ]
