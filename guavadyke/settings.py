"""Settings of an entry host: models, documented defaults, findings."""

from __future__ import annotations

import itertools
import json
import os
from pathlib import Path
from typing import Annotated, Literal

import pydantic

from guavadyke.errors import ErrorCode, Finding, GuavadykeError

_KIBIBYTE = 1024
_MEBIBYTE = _KIBIBYTE * _KIBIBYTE

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Positive = Annotated[float, pydantic.Field(gt=0)]
Count = Annotated[int, pydantic.Field(ge=1)]


class SettingsModel(pydantic.BaseModel):
    """Base of all settings: frozen, and an unknown key is a finding."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Secret(SettingsModel):
    """A secret, named by the file or environment variable that holds it."""

    file: Path | None = pydantic.Field(
        default=None,
        description='File that holds the secret.',
    )
    environment: str | None = pydantic.Field(
        default=None,
        description='Environment variable that holds the secret.',
    )

    def reveal(self) -> bytes:
        """Return the secret.

        Raises:
            GuavadykeError: the source is missing or empty.
        """
        if self.file is not None:
            return self._required(self._from_file(self.file))
        return self._required(os.environ.get(self.environment or '', ''))

    @pydantic.model_validator(mode='after')
    def _exactly_one_source(self) -> Secret:
        if (self.file is None) == (self.environment is None):
            raise ValueError('give either "file" or "environment"')
        return self

    def _from_file(self, path: Path) -> str:
        try:
            return path.read_text(encoding='utf-8').strip()
        except OSError as error:
            raise GuavadykeError(
                ErrorCode.settings_invalid,
                f'secret file {path} cannot be read: {error.strerror}',
            ) from error

    def _required(self, text: str) -> bytes:
        if not text:
            raise GuavadykeError(
                ErrorCode.settings_invalid,
                f'secret {self.file or self.environment} is empty',
            )
        return text.encode()


class ListenSettings(SettingsModel):
    """An IP address and port to listen on."""

    ip: pydantic.IPvAnyAddress = pydantic.Field(description='IP address.')
    port: Port = pydantic.Field(description='Port; 0 takes any free one.')


class CallerSettings(SettingsModel):
    """The caller port."""

    listen: ListenSettings
    threads: Count = pydantic.Field(
        default=256,
        description='Requests served at once.',
    )
    connections: Count = pydantic.Field(
        default=2000,
        description='Connections held at once.',
    )
    max_body_bytes: Count = pydantic.Field(
        default=_MEBIBYTE,
        description='Largest body of an online request, in bytes.',
    )
    max_batch_body_bytes: Count = pydantic.Field(
        default=128 * _MEBIBYTE,
        description='Largest body of a batch submission, in bytes.',
    )
    stream_buffer_bytes: Count = pydantic.Field(
        default=64 * _KIBIBYTE,
        description='Bytes held for a caller that reads slowly.',
    )


class OperatorSettings(SettingsModel):
    """The operator port."""

    listen: ListenSettings
    token: Secret = pydantic.Field(description='Token of the operators.')
    threads: Count = pydantic.Field(
        default=8,
        description='Operator requests served at once.',
    )


class PeerSettings(SettingsModel):
    """The peer port: UDP for membership, TCP for calls, one number."""

    listen: ListenSettings
    fleet_key: Secret = pydantic.Field(
        description='Key that all entry hosts share.',
    )
    seeds: tuple[str, ...] = pydantic.Field(
        default=(),
        description='Peers as IP:PORT, besides those the platform lists.',
    )
    probe_interval_s: Positive = pydantic.Field(
        default=0.5,
        description='Seconds between probes of one other entry host.',
    )
    probe_timeout_s: Positive = pydantic.Field(
        default=0.25,
        description='Seconds that a probe waits for its answer.',
    )
    suspicion_s: Positive = pydantic.Field(
        default=3,
        description='Seconds that a silent peer stays suspected.',
    )


class PlatformSettings(SettingsModel):
    """The platform's object API."""

    url: str = pydantic.Field(
        pattern=r'^https?://[0-9a-fA-F.:\[\]]+:\d+$',
        description='URL by IP number and port.',
    )
    token: Secret | None = pydantic.Field(
        default=None,
        description='Token of this system at the platform.',
    )
    call_timeout_s: Positive = pydantic.Field(
        default=2,
        description='Seconds that one call may take.',
    )
    watch_wait_s: Positive = pydantic.Field(
        default=20,
        description='Seconds that a watch waits for an event.',
    )
    relist_interval_s: Positive = pydantic.Field(
        default=60,
        description='Seconds between full lists, since a watch can go silent.',
    )
    fleet_writes_per_s: Positive = pydantic.Field(
        default=300,
        description='Writes a second of all entry hosts together.',
    )
    fleet_reads_per_s: Positive = pydantic.Field(
        default=2000,
        description='Reads a second of all entry hosts together.',
    )
    burst_calls: Count = pydantic.Field(
        default=200,
        description='Calls that a host may save up and make at once.',
    )


class OnlineSettings(SettingsModel):
    """Online requests."""

    default_deadline_s: Positive = pydantic.Field(
        default=60,
        description='Deadline of a request that names none, in seconds.',
    )
    connect_timeout_s: Positive = pydantic.Field(
        default=0.5,
        description='Seconds to connect to a backend server.',
    )
    first_byte_timeout_s: Positive = pydantic.Field(
        default=10,
        description='Seconds to the first byte of an answer.',
    )
    gap_timeout_s: Positive = pydantic.Field(
        default=2,
        description='Seconds of silence after which a stream is given up.',
    )
    idle_connection_s: Positive = pydantic.Field(
        default=5,
        description='Seconds after which an idle connection is not reused.',
    )
    queue_length: Count = pydantic.Field(
        default=256,
        description='Online requests that wait on this host at the most.',
    )
    load_polls_per_s: Positive = pydantic.Field(
        default=10,
        description='Backend servers asked for their load each second.',
    )
    retry_budget_ratio: Positive = pydantic.Field(
        default=0.15,
        description='Retries allowed as a share of requests.',
    )
    claim_kept_s: Positive = pydantic.Field(
        default=86_400,
        description='Seconds that an idempotency key is remembered.',
    )


class BatchSettings(SettingsModel):
    """Batch jobs."""

    max_items: Count = pydantic.Field(
        default=51_000,
        description='Items in one job at the most.',
    )
    chunk_items: Count = pydantic.Field(
        default=500,
        description='Items in one chunk at the most.',
    )
    chunk_bytes: Count = pydantic.Field(
        default=512 * _KIBIBYTE,
        description='Uncompressed bytes in one chunk at the most.',
    )
    lease_s: Positive = pydantic.Field(
        default=15,
        description='Seconds that a lease holds without renewal.',
    )
    lease_renewal_s: Positive = pydantic.Field(
        default=5,
        description='Seconds between renewals of a lease.',
    )
    lease_margin_s: Positive = pydantic.Field(
        default=3,
        description='Seconds before the end at which a holder starts nothing.',
    )
    poll_interval_s: Positive = pydantic.Field(
        default=2,
        description='Seconds between looks for work.',
    )
    max_attempts: Count = pydantic.Field(
        default=3,
        description='Attempts at an item before it ends failed.',
    )
    item_timeout_s: Positive = pydantic.Field(
        default=120,
        description='Seconds that one attempt at an item may take.',
    )
    workers: Count = pydantic.Field(
        default=64,
        description='Items in flight on this host at the most.',
    )
    retention_s: Positive = pydantic.Field(
        default=7 * 86_400,
        description='Seconds that results stay readable after a job ends.',
    )


class OrderSettings(SettingsModel):
    """Orders to engines whose models this system manages."""

    interval_s: Positive = pydantic.Field(
        default=2,
        description='Seconds between looks at the engines.',
    )
    lease_s: Positive = pydantic.Field(
        default=15,
        description='Seconds of the lease on an engine that ignores fencing.',
    )
    lease_margin_s: Positive = pydantic.Field(
        default=5,
        description='Seconds before the end at which no order is sent.',
    )
    loads_at_once: Count = pydantic.Field(
        default=2,
        description='Engines of a zone that load weights at once.',
    )
    load_permit_s: Positive = pydantic.Field(
        default=600,
        description='Seconds after which a load counts as ended.',
    )
    unload_permit_s: Positive = pydantic.Field(
        default=60,
        description='Seconds after which an unload counts as ended.',
    )


class StopSettings(SettingsModel):
    """Planned stops."""

    balancer_delay_s: Annotated[float, pydantic.Field(ge=0)] = pydantic.Field(
        default=5,
        description='Seconds of accepting requests after readiness ends.',
    )
    longest_s: Positive = pydantic.Field(
        default=600,
        description='Seconds that requests in flight are given to end.',
    )


class ForwardSettings(SettingsModel):
    """Requests that are forwarded unchanged, and batch items like them."""

    longest_wait_s: Positive = pydantic.Field(
        default=1.5,
        description='Wait at backend servers from which requests of a route '
        'without a latency objective are refused.',
    )
    silence_s: Positive = pydantic.Field(
        default=1,
        description='Silence after which a resumable stream changes server.',
    )
    connect_timeout_s: Positive = pydantic.Field(
        default=0.1,
        description='Seconds to connect to a backend server of the region.',
    )
    patience_share: Positive = pydantic.Field(
        default=0.5,
        description='Share of the latency objective after which a request '
        'without its first event goes to another server.',
    )
    idle_connection_s: Positive = pydantic.Field(
        default=4,
        description='Seconds after which an idle connection is not reused.',
    )
    item_workers: Count = pydantic.Field(
        default=32,
        description='Batch items in flight on this host at the most.',
    )
    item_silence_s: Positive = pydantic.Field(
        default=3,
        description='Silence after which a batch item changes server.',
    )
    result_retention_s: Positive = pydantic.Field(
        default=120,
        description='Seconds for which results stay readable.',
    )
    notice_interval_s: Positive = pydantic.Field(
        default=0.1,
        description='Seconds between notices of load to other hosts.',
    )


class HostSettings(SettingsModel):
    """What every daemon of the fleet is told at its start."""

    host_id: str = pydantic.Field(
        pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$',
        description='Name of this entry host, unique in the fleet.',
    )
    zone: str = pydantic.Field(
        min_length=1,
        description='Availability zone of this entry host.',
    )
    region: str = pydantic.Field(
        default='default',
        description='Region of the availability zone.',
    )
    peer: PeerSettings
    platform: PlatformSettings
    stop: StopSettings = StopSettings()
    verbosity: Literal['debug', 'info', 'warning', 'error'] = pydantic.Field(
        default='info',
        description='Least severity that is logged.',
    )


class EntrySettings(HostSettings):
    """Everything that an entry host is told at its start."""

    caller: CallerSettings
    operator: OperatorSettings
    online: OnlineSettings = OnlineSettings()
    batch: BatchSettings = BatchSettings()
    orders: OrderSettings = OrderSettings()
    data_folder: Path | None = pydantic.Field(
        default=None,
        description='Folder for bulk data on hosts that have a disk.',
    )


class ForwardHostSettings(HostSettings):
    """What a host is told that forwards requests and runs their items.

    A host without a caller port only runs batch items.
    """

    caller: CallerSettings | None = None
    readiness: ListenSettings | None = pydantic.Field(
        default=None,
        description='Port that tells a balancer whether the host is ready.',
    )
    forward: ForwardSettings = ForwardSettings()


def validation_findings(error: pydantic.ValidationError) -> tuple[Finding, ...]:
    """Return pydantic's errors as findings with JSON paths."""
    return tuple(
        Finding(
            place=_json_path(detail['loc']),
            message=detail['msg'],
        )
        for detail in error.errors(include_input=False, include_url=False)
    )


def _json_path(location: tuple[int | str, ...]) -> str:
    steps = (
        f'[{step}]' if isinstance(step, int) else f'.{step}'
        for step in location
    )
    return ''.join(itertools.chain('$', steps))


def load_settings(path: Path) -> EntrySettings:
    """Read and check a settings file.

    Args:
        path: JSON file.

    Raises:
        GuavadykeError: with every finding and its JSON path.
    """
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise GuavadykeError(
            ErrorCode.settings_invalid,
            f'{path} cannot be read as JSON',
            findings=(Finding('$', str(error)),),
        ) from error
    try:
        return EntrySettings.model_validate(document)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.settings_invalid,
            f'{path} holds wrong settings',
            findings=validation_findings(error),
        ) from error
