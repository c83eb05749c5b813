"""Tells other hosts of failing backend servers, and learns from them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from guavadyke.controllers.urgent_notices import UrgentNotices
from guavadyke.decisions.fault_reports import FaultReports, ServerFault
from guavadyke.decisions.server_registry import ListedServer, incarnation_of
from guavadyke.decisions.slot import HostLocation
from guavadyke.log import EventLogger


class FaultExchange:
    """Exchanges reports of failing servers with the other hosts.

    Not safe for threads: the server pool calls it with its lock held.

    Args:
        here: the id and the availability zone of this host.
        reports: the failures that this host knows of.
        urgent: passes reports to the sender of notices.
        live_hosts: returns the number of live hosts of the fleet.
        logger: logs servers that begin or cease to fail.
    """

    def __init__(
        self,
        here: HostLocation,
        reports: FaultReports,
        urgent: UrgentNotices,
        live_hosts: Callable[[], int],
        logger: EventLogger,
    ) -> None:
        self._here = here
        self._reports = reports
        self._urgent = urgent
        self._live_hosts = live_hosts
        self._logger = logger

    def ejected(self, server_id: str, now: float) -> None:
        """Report that this host has stopped using a server."""
        self._report(server_id, self._here, now)
        self._announce(server_id, failing=True)

    def said_leaving(self, server: ListedServer) -> None:
        """Report that a server has said in an answer that it leaves."""
        self._logger.info(
            'backend_server_says_leaving',
            backend_server=server.server_id,
            incarnation=server.incarnation,
        )
        self._urgent.add_fault(
            ServerFault(
                server.server_id,
                self._here.zone,
                failing=False,
                leaving=True,
                born_ms=server.born_ms,
            )
        )

    def succeeded(self, server_id: str) -> None:
        """Withdraw all reports of a server that has answered a request."""
        if self._reports.withdraw(server_id):
            self._announce(server_id, failing=False)

    def received(
        self, host_id: str, faults: Iterable[ServerFault], now: float
    ) -> None:
        """Apply the reports of another host."""
        for fault in faults:
            if fault.leaving:
                continue
            if fault.failing:
                reporter = HostLocation(host_id, fault.zone)
                self._report(fault.backend_id, reporter, now)
            else:
                self._reports.withdraw(fault.backend_id)

    def _report(
        self, server_id: str, reporter: HostLocation, now: float
    ) -> None:
        self._reports.report(
            server_id,
            reporter.host_id,
            reporter.zone,
            now,
            self._live_hosts(),
        )

    def _announce(self, server_id: str, *, failing: bool) -> None:
        self._logger.info(
            'backend_server_failing' if failing else 'backend_server_recovered',
            backend_server=server_id,
        )
        self._urgent.add_fault(ServerFault(server_id, self._here.zone, failing))


def leaving_incarnations(faults: Iterable[ServerFault]) -> list[str]:
    """Return the incarnations of servers that have said that they leave."""
    return [
        incarnation_of(fault.backend_id, fault.born_ms)
        for fault in faults
        if fault.leaving
    ]
