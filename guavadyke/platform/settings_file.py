"""The platform's settings file as settings of the product."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from pathlib import Path

import pydantic

from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.settings import (
    CallerSettings,
    ForwardHostSettings,
    ForwardSettings,
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    StopSettings,
    validation_findings,
)

FLEET_KEY_VARIABLE = 'GUAVADYKE_FLEET_KEY'
# Bytes that one request thread of a small host is reckoned to need.
_THREAD_MB = 1.0
_LEAST_THREADS = 16
_MOST_THREADS = 96
# Seconds of the grace period that are left for ending the process.
_LAST_S = 1.2
# Seconds from the end of readiness until the balancer sends nothing more:
# two missed checks, one a second, and one to spare.
_BALANCER_S = 3.0
_CALL_TIMEOUT_S = 1.0
_WATCH_WAIT_S = 10.0
_SHARE_OF_RATES = 0.8


@dataclasses.dataclass(frozen=True)
class SettingsFile:
    """Lines of the form ``a.b=value``; unknown ones are left alone."""

    values: Mapping[str, str]

    def text(self, key: str) -> str:
        """Return a value.

        Raises:
            GuavadykeError: it is missing.
        """
        found = self.values.get(key)
        if not found:
            raise _invalid((Finding(key, 'missing'),))
        return found

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number.

        Raises:
            GuavadykeError: it is missing or none.
        """
        if default is not None and not self.values.get(key):
            return default
        text = self.text(key)
        try:
            return float(text)
        except ValueError as error:
            raise _invalid((Finding(key, f'{text} is no number'),)) from error

    def addresses(self, key: str) -> tuple[str, ...]:
        """Return a list; empty where it is missing."""
        return tuple(filter(None, self.values.get(key, '').split(',')))


def read_settings_file(path: Path) -> SettingsFile:
    """Read the file.

    Raises:
        GuavadykeError: it cannot be read.
    """
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except (OSError, ValueError) as error:
        raise _invalid((Finding(str(path), str(error)),)) from error
    pairs = (line.partition('=') for line in lines if '=' in line)
    return SettingsFile({key.strip(): text for key, _equals, text in pairs})


def host_settings(found: SettingsFile) -> ForwardHostSettings:
    """Return the product's settings.

    Raises:
        GuavadykeError: with every finding.
    """
    peer_port = int(_first(found.addresses('PortRange'), 'PortRange'))
    try:
        return ForwardHostSettings(
            host_id=found.text('Node'),
            zone=found.text('Zone'),
            region=found.values.get('Region') or 'default',
            caller=_caller(found),
            readiness=_listen(found, 'Listen.ReadyAddr'),
            peer=PeerSettings.model_validate({
                'listen': {'ip': found.text('Ip'), 'port': peer_port},
                'fleet_key': {'environment': FLEET_KEY_VARIABLE},
                # Seeds name another port of the same hosts.
                'seeds': [
                    f'{seed.rpartition(":")[0]}:{peer_port}'
                    for seed in found.addresses('Seeds')
                ],
            }),
            platform=PlatformSettings(
                url=f'http://{found.text("Provider.Address")}',
                call_timeout_s=_CALL_TIMEOUT_S,
                watch_wait_s=_WATCH_WAIT_S,
                fleet_writes_per_s=_SHARE_OF_RATES
                * found.number('Provider.WritesPerS', 400),
                fleet_reads_per_s=_SHARE_OF_RATES
                * found.number('Provider.ReadsPerS', 2000),
            ),
            stop=_stop(found),
            forward=ForwardSettings(
                result_retention_s=found.number('Bounds.StatusS', 120),
            ),
        )
    except pydantic.ValidationError as error:
        raise _invalid(validation_findings(error)) from error


def _caller(found: SettingsFile) -> CallerSettings | None:
    listen = _listen(found, 'Listen.Front')
    if listen is None:
        return None
    memory_mb = found.number('Limits.MemoryMb', 256)
    threads = int(memory_mb / 2 / _THREAD_MB)
    return CallerSettings(
        listen=listen,
        threads=max(_LEAST_THREADS, min(_MOST_THREADS, threads)),
    )


def _stop(found: SettingsFile) -> StopSettings:
    grace_s = found.number('Bounds.GraceS', 8)
    delay_s = min(_BALANCER_S, grace_s / 2)
    return StopSettings(
        balancer_delay_s=delay_s,
        longest_s=max(_LAST_S, grace_s - delay_s - _LAST_S),
    )


def _listen(found: SettingsFile, key: str) -> ListenSettings | None:
    address = found.values.get(key)
    if not address:
        return None
    ip, _colon, port = address.rpartition(':')
    return ListenSettings.model_validate({'ip': ip, 'port': port})


def _first(texts: tuple[str, ...], key: str) -> str:
    if not texts or not texts[0].isdecimal():
        raise _invalid((Finding(key, 'no port'),))
    return texts[0]


def _invalid(findings: tuple[Finding, ...]) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.settings_invalid,
        'the settings file cannot be used',
        findings=findings,
    )
