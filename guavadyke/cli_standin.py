"""Command line of the stand-ins: one process each."""

from __future__ import annotations

import functools
import signal
import sys
from collections.abc import Callable

import click

from guavadyke.errors import GuavadykeError
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.control import Standin
from guavadyke.standins.engine import EngineSpec, EngineStandin
from guavadyke.standins.order_executor import LoadedModel, WeightSource
from guavadyke.standins.platform import PlatformStandin
from guavadyke.standins.service import ServiceStandin
from guavadyke.standins.weights import WeightStoreSpec

_EXIT_ADDRESS = 1
_MS_PER_S = 1000


@click.group('standin')
def standin() -> None:
    """Run a small stand-in for an outside system."""


def _listening(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that say where to listen."""
    ip = click.option('--host', 'ip', default='127.0.0.1', show_default=True)
    port = click.option('--port', default=0, help='0 takes any free port.')
    return ip(port(command))


def _stop(running: Standin, *_received: object) -> None:
    running.close()


def _modelled(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that say what is loaded, and from where."""
    models = click.option(
        '--model',
        'models',
        multiple=True,
        help='NAME or NAME@VERSION; without any, every name is served.',
    )
    weights = click.option(
        '--weights',
        default='',
        help='URL of the weight store.',
    )
    return models(weights(command))


def _serve(create: Callable[[], Standin]) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    try:
        running = create()
    except GuavadykeError as error:
        click.echo(f'{error.code}: {error.message}', err=True)
        sys.exit(_EXIT_ADDRESS)
    stop = functools.partial(_stop, running)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    running.start()
    click.echo(f'listening on {running.address}')
    running.wait()


@standin.command()
@_listening
@click.option(
    '--weight-bytes-per-s',
    default=1e9,
    show_default=True,
    help='Rate of the weight store.',
)
def platform(ip: str, port: int, weight_bytes_per_s: float) -> None:
    """Run a platform: objects, watches, host list, weight store."""
    _serve(
        functools.partial(
            PlatformStandin,
            ip=ip,
            port=port,
            weights=WeightStoreSpec(bytes_per_s=weight_bytes_per_s),
        ),
    )


@standin.command()
@_listening
@click.option('--slots', default=8, show_default=True)
@click.option('--step-ms', default=10.0, show_default=True)
@_modelled
@click.option('--fencing/--no-fencing', default=True, show_default=True)
def engine(
    ip: str,
    port: int,
    slots: int,
    step_ms: float,
    models: tuple[str, ...],
    weights: str,
    *,
    fencing: bool,
) -> None:
    """Run a language model engine."""
    spec = EngineSpec(
        batch=ContinuousBatchSpec(slots=slots, step_s=step_ms / _MS_PER_S),
        models=tuple(_model(text) for text in models),
        weights=WeightSource(url=weights),
        fencing=fencing,
    )
    _serve(functools.partial(EngineStandin, ip=ip, port=port, spec=spec))


@standin.command()
@_listening
@click.option('--run-ms', default=5.0, show_default=True)
def service(ip: str, port: int, run_ms: float) -> None:
    """Run a plain service."""
    run_s = run_ms / _MS_PER_S
    _serve(functools.partial(ServiceStandin, ip=ip, port=port, run_s=run_s))


def _model(text: str) -> LoadedModel:
    name, _at, version = text.partition('@')
    return LoadedModel(model=name, version=version or '1')
