"""Selects the backend servers that may receive requests of each entry."""

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
    """Servers that accept new work, for one catalogue and fleet snapshot.

    ``by_entry`` holds the servers of each entry; ``views`` holds every
    server that is not leaving, by server id.
    """

    by_entry: Mapping[str, tuple[ServerView, ...]]
    views: Mapping[str, ServerView]

    def for_entry(self, entry_name: str) -> tuple[ServerView, ...]:
        """Return the servers of an entry; empty for an unknown entry."""
        return self.by_entry.get(entry_name, ())


def find_candidates(
    catalogue: CatalogueSnapshot,
    fleet: FleetSnapshot,
    reports: Mapping[str, ReportedLoad],
    host_zone: str,
) -> Candidates:
    """Return the servers that are not leaving, by entry.

    Args:
        catalogue: current catalogue.
        fleet: peer hosts and leaving servers.
        reports: the last load report of each server, by server id.
        host_zone: availability zone of this host.
    """
    hosts = live_hosts(host_zone, fleet.peers)
    views = {
        server_id: _server_view(server_id, server, hosts)
        for server_id, server in catalogue.backend_servers.items()
        if not _is_leaving(server_id, server, fleet, reports)
    }
    pairs = sorted(
        (entry_name, server_id)
        for server_id in views
        for entry_name in _served_entries(server_id, catalogue, reports)
    )
    grouped = itertools.groupby(pairs, key=operator.itemgetter(0))
    return Candidates(
        by_entry={
            entry_name: tuple(views[server_id] for _entry, server_id in group)
            for entry_name, group in grouped
        },
        views=views,
    )


def _is_leaving(
    server_id: str,
    server: BackendServerEntry,
    fleet: FleetSnapshot,
    reports: Mapping[str, ReportedLoad],
) -> bool:
    report = reports.get(server_id)
    reported = report is not None and report.leaving
    return server.leaving or reported or server_id in fleet.leaving


def _served_entries(
    server_id: str,
    catalogue: CatalogueSnapshot,
    reports: Mapping[str, ReportedLoad],
) -> Iterator[str]:
    """Yield the names of the entries that a server serves.

    A managed engine serves the models that it reports as loaded; any
    other server serves what the catalogue lists for it. Entries whose
    kind doesn't fit the role of the server are left out.
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


def _server_view(
    server_id: str,
    server: BackendServerEntry,
    hosts: Counter[str],
) -> ServerView:
    sharing_hosts = hosts[server.zone] or hosts.total()
    return ServerView(
        server_id=server_id,
        zone=server.zone,
        address=server.address,
        slots=server.slots,
        fair_slots=fair_slots(server.slots, sharing_hosts),
    )
