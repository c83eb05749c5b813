"""Which backend servers may take requests of an entry."""

from __future__ import annotations

import dataclasses
import itertools
import operator
import types
from collections import Counter
from collections.abc import Iterator, Mapping

from guavadyke.adapters.ports import ReportedLoad
from guavadyke.catalogue import BackendServerEntry
from guavadyke.decisions.routing import ServerView
from guavadyke.decisions.slot_shares import fair_slots, live_hosts
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot

_ROLE_OF_KIND = types.MappingProxyType({
    'model': 'engine',
    'service': 'service',
})


@dataclasses.dataclass(frozen=True)
class Candidates:
    """Servers by entry, as of one catalogue and one view of the fleet."""

    by_entry: Mapping[str, tuple[ServerView, ...]]
    views: Mapping[str, ServerView]

    def of(self, entry_name: str) -> tuple[ServerView, ...]:
        """Return the servers that may take requests of an entry."""
        return self.by_entry.get(entry_name, ())


def candidates(
    catalogue: CatalogueSnapshot,
    fleet: FleetSnapshot,
    reports: Mapping[str, ReportedLoad],
    host_zone: str,
) -> Candidates:
    """Return the servers of each entry that are not leaving.

    Args:
        catalogue: configuration in force.
        fleet: peers and leaving servers.
        reports: the last report of each server.
        host_zone: availability zone of this host.
    """
    hosts = live_hosts(host_zone, fleet.peers)
    views = {
        server_id: _view(server_id, server, hosts)
        for server_id, server in catalogue.backend_servers.items()
        if not _leaves(server_id, server, fleet, reports)
    }
    pairs = sorted(
        (entry_name, server_id)
        for server_id in views
        for entry_name in _served(server_id, catalogue, reports)
    )
    grouped = itertools.groupby(pairs, key=operator.itemgetter(0))
    return Candidates(
        by_entry={
            entry_name: tuple(views[server_id] for _entry, server_id in group)
            for entry_name, group in grouped
        },
        views=views,
    )


def _leaves(
    server_id: str,
    server: BackendServerEntry,
    fleet: FleetSnapshot,
    reports: Mapping[str, ReportedLoad],
) -> bool:
    report = reports.get(server_id)
    reported = report is not None and report.leaving
    return server.leaving or reported or server_id in fleet.leaving


def _served(
    server_id: str,
    catalogue: CatalogueSnapshot,
    reports: Mapping[str, ReportedLoad],
) -> Iterator[str]:
    """Yield the entries that a server serves.

    A managed engine serves what it reports as loaded, any other server
    what the catalogue says.
    """
    server = catalogue.backend_servers[server_id]
    names = server.serves
    if server.managed:
        report = reports.get(server_id)
        names = report.serves if report else ()
    for name in names:
        entry = catalogue.entries.get(name)
        if entry is not None and _ROLE_OF_KIND[entry.kind] == server.role:
            yield name


def _view(
    server_id: str,
    server: BackendServerEntry,
    hosts: Counter[str],
) -> ServerView:
    near = hosts[server.zone] or hosts.total()
    return ServerView(
        server_id=server_id,
        zone=server.zone,
        address=server.address,
        slots=server.slots,
        fair_slots=fair_slots(server.slots, near),
    )
