"""An embedded fleet as the target of a measurement."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Generator

from guavadyke.embedded_fleet import (
    CALLER_KEY,
    OPERATOR_TOKEN,
    EmbeddedFleet,
    EmbeddedPlan,
)
from guavadyke.measure.target import Target
from guavadyke.trial_catalogue import CHAT_ENTRY


@contextlib.contextmanager
def embedded_target(plan: EmbeddedPlan) -> Generator[Target, None, None]:
    """Start a fleet in this process and stop it on exit."""
    with EmbeddedFleet(plan) as fleet:
        hosts = list(fleet.hosts.values())

        def kill_host(host_id: str) -> None:
            fleet.hosts[host_id].close()

        yield Target(
            caller_urls=tuple(host.caller_url for host in hosts),
            key=CALLER_KEY,
            entry=CHAT_ENTRY,
            batch_entry=CHAT_ENTRY,
            model='small',
            operator_url=hosts[0].operator_url,
            operator_token=OPERATOR_TOKEN,
            platform_address=fleet.platform.address,
            host_pid=os.getpid(),
            kill_host=kill_host if len(hosts) > 1 else None,
        )
