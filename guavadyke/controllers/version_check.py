"""Asks the platform which software versions serve now."""

from __future__ import annotations

from collections.abc import Callable

from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.object_listing import list_all
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger


class VersionCheck:
    """Checks with one call that a version is the only one of a service.

    What this host has listed may be seconds old where it is out of step.

    Args:
        store: the platform.
        kind: kind of the servers' entries.
        decode: decodes an entry; None for one that names no server.
        logger: logs checks that the platform does not answer.
    """

    def __init__(
        self,
        store: WriteConfirmingStore,
        kind: str,
        decode: Callable[[StoredObject], ListedServer | None],
        logger: EventLogger,
    ) -> None:
        self._store = store
        self._kind = kind
        self._decode = decode
        self._logger = logger

    def __call__(self, service: str, software: str) -> bool:
        """Return whether no other version of the service is listed."""
        try:
            objects, _revision = list_all(self._store, self._kind)
        except GuavadykeError as error:
            self._logger.info(
                'versions_not_checked', service=service, reason=error.message
            )
            return False
        servers = map(self._decode, objects)
        return not any(
            server is not None
            and server.service == service
            and server.software != software
            for server in servers
        )
