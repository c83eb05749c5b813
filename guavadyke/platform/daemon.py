"""The daemon on the users' platform: runs a host, controlled by signals."""

from __future__ import annotations

import functools
import logging
import os
import queue
import signal
import sys
import types
from collections.abc import Callable
from pathlib import Path

import click

from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.errors import GuavadykeError
from guavadyke.forward_host import ForwardHost, ForwardPorts
from guavadyke.http_application import HttpApplication
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger, configure
from guavadyke.platform.caller_port import CallerPort, ReadinessPort
from guavadyke.platform.configuration import (
    CONFIGURATION_KIND,
    ConfigurationDecoder,
)
from guavadyke.platform.engine_adapter import (
    ENGINE_KIND,
    EngineDecoder,
    EngineDialect,
)
from guavadyke.platform.retirements import (
    RETIREMENT_KIND,
    RetirementDecoder,
    RetirementStatus,
)
from guavadyke.platform.settings_file import host_settings, read_settings_file
from guavadyke.platform.store import ObjectStore
from guavadyke.settings import ForwardHostSettings

_SETTINGS_VARIABLE = 'GUAVADYKE_CONFIG'
_DEFAULT_SETTINGS_PATH = '/etc/guavadyke/node.conf'
_READINESS_THREADS = 2
_READINESS_CONNECTIONS = 20
_EXIT_INVALID_SETTINGS = 2
_EXIT_UNSOUND = 70
# Stands among the signals for a part of the host that has failed.
_UNSOUND = 0
# Upper limit of request bodies; the limit of the current configuration is
# checked for each request as well.
_MAX_BODY_BYTES = 16_777_216


class Daemon:
    """A host with its caller port and its readiness port.

    Args:
        settings: settings of the host.
        on_unsound: called when the host has to end because a part of it has
            failed; None to go on.

    Raises:
        GuavadykeError: a port is in use or a secret is missing.
    """

    def __init__(
        self,
        settings: ForwardHostSettings,
        on_unsound: Callable[[], object] | None = None,
    ) -> None:
        self._settings = settings
        self._logger = EventLogger(host=settings.host_id, zone=settings.zone)
        store = ObjectStore(settings.platform, settings.host_id, self._logger)
        retirement_status = RetirementStatus(store)
        self._host = ForwardHost(
            settings,
            ForwardPorts(
                store=store,
                servers=HttpBackendServers(
                    settings.forward.idle_connection_s,
                    EngineDialect(),
                ),
                table_kind=CONFIGURATION_KIND,
                server_kind=ENGINE_KIND,
                decode_table=ConfigurationDecoder(self._logger),
                decode_server=EngineDecoder(self._logger),
                retirement_kind=RETIREMENT_KIND,
                decode_retirement=RetirementDecoder(self._logger),
                complete_retirement=retirement_status,
                is_retirement_completed=retirement_status.is_completed,
            ),
            self._logger,
        )
        if on_unsound is not None:
            self._host.duties.on_unsound(on_unsound)
        self._readiness = ReadinessPort(self._host)
        self._http_servers = self._create_servers()

    def start(self) -> None:
        """Start the host, then its ports."""
        self._host.start()
        for server in self._http_servers:
            server.start()

    def stop(self) -> None:
        """Stop gracefully: requests in flight may finish first."""
        callers = (
            None if self._settings.caller is None else self._http_servers[0]
        )
        self._host.stop(callers)
        for server in self._http_servers:
            server.close()
        self._host.close()
        self._logger.info('host_stopped')

    def reload(self, path: Path) -> None:
        """Check the settings file again and log the result.

        An invalid file is logged and the daemon goes on; changed settings
        take effect at the next start.
        """
        try:
            reread = host_settings(read_settings_file(path))
        except GuavadykeError as error:
            self._logger.error(
                'settings_not_reloaded',
                reason=error.message,
                findings=[
                    f'{finding.place}: {finding.message}'
                    for finding in error.findings
                ],
            )
            return
        self._logger.info(
            'settings_reloaded',
            changed=reread != self._settings,
        )

    def _create_servers(self) -> list[HttpServer]:
        """Create the HTTP servers; that of the caller port comes first."""
        servers = []
        caller = self._settings.caller
        if caller is not None:
            servers.append(
                HttpServer(
                    self._application(CallerPort(self._host)),
                    HttpServerSettings(
                        listen=caller.listen,
                        threads=caller.threads,
                        connections=caller.connections,
                        max_body_bytes=_MAX_BODY_BYTES,
                        stream_buffer_bytes=caller.stream_buffer_bytes,
                    ),
                    self._idle_timeout_s,
                ),
            )
        if self._settings.readiness is not None:
            servers.append(
                HttpServer(
                    self._application(self._readiness),
                    HttpServerSettings(
                        listen=self._settings.readiness,
                        threads=_READINESS_THREADS,
                        connections=_READINESS_CONNECTIONS,
                    ),
                ),
            )
        return servers

    def _idle_timeout_s(self) -> float:
        return self._host.table.current.limits.idle_timeout_s

    def _application(
        self,
        port: CallerPort | ReadinessPort,
    ) -> HttpApplication:
        return HttpApplication(port.routes(), self._host.clock, self._logger)


def run(path: Path) -> bool:
    """Run until SIGTERM or SIGINT; SIGHUP checks the settings file again.

    Returns:
        False if the host ended because a part of it has failed.

    Raises:
        GuavadykeError: the settings are invalid or a port is in use.
    """
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def enqueue_signal(number: int, _frame: types.FrameType | None) -> None:
        signals.put(number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, enqueue_signal)
    settings = host_settings(read_settings_file(path))
    configure(settings.verbosity)
    daemon = Daemon(settings, functools.partial(signals.put, _UNSOUND))
    daemon.start()
    received = signals.get()
    while received == signal.SIGHUP:
        daemon.reload(path)
        received = signals.get()
    daemon.stop()
    return received != _UNSOUND


@click.command()
@click.argument('role')
def main(role: str) -> None:
    """Run the daemon; ROLE is a label for error messages.

    The settings file decides which ports the daemon serves.
    """
    path = Path(os.environ.get(_SETTINGS_VARIABLE, _DEFAULT_SETTINGS_PATH))
    try:
        sound = run(path)
    except GuavadykeError as error:
        click.echo(f'{role}: {error.code}: {error.message}', err=True)
        for finding in error.findings:
            click.echo(f'  {finding.place}: {finding.message}', err=True)
        sys.exit(_EXIT_INVALID_SETTINGS)
    # Exit without joining threads: a thread that waits for the platform would
    # keep the process alive beyond its grace period.
    logging.shutdown()
    os._exit(0 if sound else _EXIT_UNSOUND)
