"""The daemon of a role: starts a host, stops and reloads it by signals."""

from __future__ import annotations

import logging
import os
import queue
import signal
import sys
import types
from pathlib import Path

import click

from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.errors import GuavadykeError
from guavadyke.forward_host import ForwardHost, ForwardPorts
from guavadyke.http_application import HttpApplication
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger, configure
from guavadyke.platform.callers import CallerPort, ReadinessPort
from guavadyke.platform.configuration import (
    CONFIGURATION_KIND,
    ConfigurationDecoder,
)
from guavadyke.platform.engines import (
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
_DEFAULT_PATH = '/etc/guavadyke/node.conf'
_READINESS_THREADS = 2
_READINESS_CONNECTIONS = 20
_EXIT_SETTINGS = 2
# Largest body that the caller port reads; the configuration's own bound is
# applied to each request.
_BODY_BYTES = 16_777_216


class Daemon:
    """A host with its caller port and its readiness port.

    Args:
        settings: what the host is told.

    Raises:
        GuavadykeError: a port is taken or a secret is missing.
    """

    def __init__(self, settings: ForwardHostSettings) -> None:
        self._settings = settings
        self._logger = EventLogger(host=settings.host_id, zone=settings.zone)
        store = ObjectStore(settings.platform, settings.host_id)
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
                complete_retirement=RetirementStatus(store),
            ),
            self._logger,
        )
        self._readiness = ReadinessPort(self._host)
        self._servers = self._made_servers()

    def start(self) -> None:
        """Start the host, then its ports."""
        self._host.start()
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Stop as planned: no request is cut off."""
        callers = None if self._settings.caller is None else self._servers[0]
        self._host.stop(callers)
        for server in self._servers:
            server.close()
        self._host.close()
        self._logger.info('host_stopped')

    def reload(self, path: Path) -> None:
        """Read the settings again; what is wrong leaves them as they are."""
        try:
            found = host_settings(read_settings_file(path))
        except GuavadykeError as error:
            self._logger.error(
                'settings_not_reloaded',
                reason=error.message,
                findings=[
                    f'{one.place}: {one.message}' for one in error.findings
                ],
            )
            return
        self._logger.info(
            'settings_reloaded',
            changed=found != self._settings,
        )

    def _made_servers(self) -> list[HttpServer]:
        """Return the caller port first, where there is one."""
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
                        max_body_bytes=_BODY_BYTES,
                        stream_buffer_bytes=caller.stream_buffer_bytes,
                    ),
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

    def _application(
        self,
        port: CallerPort | ReadinessPort,
    ) -> HttpApplication:
        return HttpApplication(port.routes(), self._host.clock, self._logger)


def run(path: Path) -> None:
    """Run until SIGTERM.

    Raises:
        GuavadykeError: the settings are wrong or a port is taken.
    """
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def note(number: int, _frame: types.FrameType | None) -> None:
        signals.put(number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, note)
    settings = host_settings(read_settings_file(path))
    configure(settings.verbosity)
    daemon = Daemon(settings)
    daemon.start()
    while signals.get() == signal.SIGHUP:
        daemon.reload(path)
    daemon.stop()


@click.command()
@click.argument('role')
def main(role: str) -> None:
    """Run the daemon of a ROLE; the settings file says what it serves."""
    path = Path(os.environ.get(_SETTINGS_VARIABLE, _DEFAULT_PATH))
    try:
        run(path)
    except GuavadykeError as error:
        click.echo(f'{role}: {error.code}: {error.message}', err=True)
        for finding in error.findings:
            click.echo(f'  {finding.place}: {finding.message}', err=True)
        sys.exit(_EXIT_SETTINGS)
    # Threads that still wait for the platform must not hold the process
    # beyond its grace period.
    logging.shutdown()
    os._exit(0)
