"""Reads the platform's settings file into the host's settings."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from pathlib import Path

import pydantic

from guavadyke.decisions.key_revocation import watch_freshness_s
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
# Memory in MB that one request thread of a small host needs.
_MEMORY_PER_THREAD_MB = 1.0
_MIN_THREADS = 16
_MAX_THREADS = 48
# Part of the grace period that is left for ending the process.
_PROCESS_EXIT_S = 1.2
# Time from the end of readiness until the load balancer sends no more
# requests: two failed health checks, one per second, plus one second.
_BALANCER_DELAY_S = 3.0
_CALL_TIMEOUT_S = 1.0
_WATCH_WAIT_S = 10.0
_RATE_SHARE = 0.8
_DEFAULT_BOUND_MS = 2000
_DEFAULT_CANCEL_MS = 3000
_DEFAULT_HEARTBEAT_MS = 1200
_HEARTBEATS_TO_EXPIRY = 3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class SettingsFile:
    """Key-value pairs of the file; unknown keys are ignored."""

    values: Mapping[str, str]

    def text(self, key: str) -> str:
        """Return a value.

        Raises:
            GuavadykeError: the key is missing or its value is empty.
        """
        value = self.values.get(key)
        if not value:
            raise _settings_error((Finding(key, 'missing'),))
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number.

        Raises:
            GuavadykeError: the value is missing and has no default, or is
                not a number.
        """
        if default is not None and not self.values.get(key):
            return default
        text = self.text(key)
        try:
            return float(text)
        except ValueError as error:
            raise _settings_error((
                Finding(key, f'{text} is not a number'),
            )) from error

    def addresses(self, key: str) -> tuple[str, ...]:
        """Return a comma-separated list, empty if the key is missing."""
        return tuple(filter(None, self.values.get(key, '').split(',')))

    def names(self, section: str) -> tuple[str, ...]:
        """Return the names of the keys of a section, such as its zones."""
        prefix = f'{section}.'
        return tuple(
            key.removeprefix(prefix)
            for key in self.values
            if key.startswith(prefix)
        )


def read_settings_file(path: Path) -> SettingsFile:
    """Read a settings file with lines of the form ``a.b=value``.

    Raises:
        GuavadykeError: the file cannot be read.
    """
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except (OSError, ValueError) as error:
        raise _settings_error((Finding(str(path), str(error)),)) from error
    pairs = (line.partition('=') for line in lines if '=' in line)
    return SettingsFile({key.strip(): text for key, _separator, text in pairs})


def host_settings(settings_file: SettingsFile) -> ForwardHostSettings:
    """Return the host's settings.

    Raises:
        GuavadykeError: a value is missing or invalid; its findings name
            the keys.
    """
    peer_port = int(
        _first_port(settings_file.addresses('PortRange'), 'PortRange')
    )
    try:
        return ForwardHostSettings(
            host_id=settings_file.text('Node'),
            zone=settings_file.text('Zone'),
            region=settings_file.values.get('Region') or 'default',
            caller=_caller_settings(settings_file),
            readiness=_listen_settings(settings_file, 'Listen.ReadyAddr'),
            peer=PeerSettings.model_validate({
                'listen': {'ip': settings_file.text('Ip'), 'port': peer_port},
                'fleet_key': {'environment': FLEET_KEY_VARIABLE},
                # Seeds are listed with another port of the same hosts.
                'seeds': [
                    f'{seed.rpartition(":")[0]}:{peer_port}'
                    for seed in settings_file.addresses('Seeds')
                ],
            }),
            platform=PlatformSettings(
                url=f'http://{settings_file.text("Provider.Address")}',
                call_timeout_s=_CALL_TIMEOUT_S,
                watch_wait_s=_WATCH_WAIT_S,
                freshness_s=_freshness_s(settings_file),
                revocation_s=_revocation_s(settings_file),
                job_end_s=settings_file.number(
                    'Bounds.CancelMs', _DEFAULT_CANCEL_MS
                )
                / _MS_PER_S,
                entry_expiry_s=_HEARTBEATS_TO_EXPIRY
                * settings_file.number('HeartbeatMs', _DEFAULT_HEARTBEAT_MS)
                / _MS_PER_S,
                fleet_writes_per_s=_RATE_SHARE
                * settings_file.number('Provider.WritesPerS', 400),
                fleet_reads_per_s=_RATE_SHARE
                * settings_file.number('Provider.ReadsPerS', 2000),
            ),
            stop=_stop_settings(settings_file),
            forward=ForwardSettings(
                result_retention_s=settings_file.number('Bounds.StatusS', 120),
            ),
            zones=settings_file.names('Zones'),
        )
    except pydantic.ValidationError as error:
        raise _settings_error(validation_findings(error)) from error


def _caller_settings(settings_file: SettingsFile) -> CallerSettings | None:
    listen = _listen_settings(settings_file, 'Listen.Front')
    if listen is None:
        return None
    memory_mb = settings_file.number('Limits.MemoryMb', 256)
    threads = int(memory_mb / 2 / _MEMORY_PER_THREAD_MB)
    return CallerSettings(
        listen=listen,
        threads=max(_MIN_THREADS, min(_MAX_THREADS, threads)),
    )


def _freshness_s(settings_file: SettingsFile) -> float:
    """Return the shorter of the bounds of configurations and of leaving."""
    bounds_ms = (
        settings_file.number('Bounds.ConfigApplyMs', _DEFAULT_BOUND_MS),
        settings_file.number('Bounds.DrainMs', _DEFAULT_BOUND_MS),
    )
    return watch_freshness_s(
        _revocation_s(settings_file), min(bounds_ms) / _MS_PER_S
    )


def _revocation_s(settings_file: SettingsFile) -> float:
    """Return the bound on removed keys, 0 where it is not strict."""
    strict = settings_file.values.get('Bounds.StrictRevoke', '')
    if strict.strip().lower() != 'true':
        return 0
    return settings_file.number('Bounds.RevokeMs') / _MS_PER_S


def _stop_settings(settings_file: SettingsFile) -> StopSettings:
    grace_s = settings_file.number('Bounds.GraceS', 8)
    delay_s = min(_BALANCER_DELAY_S, grace_s / 2)
    return StopSettings(
        balancer_delay_s=delay_s,
        longest_s=max(_PROCESS_EXIT_S, grace_s - delay_s - _PROCESS_EXIT_S),
    )


def _listen_settings(
    settings_file: SettingsFile, key: str
) -> ListenSettings | None:
    address = settings_file.values.get(key)
    if not address:
        return None
    ip, _colon, port = address.rpartition(':')
    return ListenSettings.model_validate({'ip': ip, 'port': port})


def _first_port(texts: tuple[str, ...], key: str) -> str:
    if not texts or not texts[0].isdecimal():
        raise _settings_error((Finding(key, 'not a port'),))
    return texts[0]


def _settings_error(findings: tuple[Finding, ...]) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.settings_invalid,
        'the settings file cannot be used',
        findings=findings,
    )
