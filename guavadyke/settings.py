"""Settings models of entry hosts, and loading and validating them."""

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
NonNegative = Annotated[float, pydantic.Field(ge=0)]
Count = Annotated[int, pydantic.Field(ge=1)]


class SettingsModel(pydantic.BaseModel):
    """Base of all settings models: immutable, and rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Secret(SettingsModel):
    """Reference to a secret in a file or an environment variable."""

    file: Path | None = pydantic.Field(
        default=None,
        description='File that holds the secret.',
    )
    environment: str | None = pydantic.Field(
        default=None,
        description='Environment variable that holds the secret.',
    )

    def reveal(self) -> bytes:
        """Read the secret from its source.

        Raises:
            GuavadykeError: ``settings_invalid``, the file cannot be read or
                the secret is missing or empty.
        """
        if self.file is not None:
            return self._encode_nonempty(self._read_file(self.file))
        return self._encode_nonempty(os.environ.get(self.environment or '', ''))

    @pydantic.model_validator(mode='after')
    def _exactly_one_source(self) -> Secret:
        if (self.file is None) == (self.environment is None):
            raise ValueError(
                'exactly one of "file" and "environment" is required'
            )
        return self

    def _read_file(self, path: Path) -> str:
        try:
            return path.read_text(encoding='utf-8').strip()
        except OSError as error:
            raise GuavadykeError(
                ErrorCode.settings_invalid,
                f'cannot read secret file {path}: {error.strerror}',
            ) from error

    def _encode_nonempty(self, text: str) -> bytes:
        if not text:
            raise GuavadykeError(
                ErrorCode.settings_invalid,
                f'secret {self.file or self.environment} is missing or empty',
            )
        return text.encode()


class ListenSettings(SettingsModel):
    """An IP address and port to listen on."""

    ip: pydantic.IPvAnyAddress = pydantic.Field(description='IP address.')
    port: Port = pydantic.Field(description='Port; 0 selects any free port.')


class CallerSettings(SettingsModel):
    """Settings of the caller port, which serves callers' requests."""

    listen: ListenSettings
    threads: Count = pydantic.Field(
        default=256,
        description='Maximum requests served concurrently.',
    )
    connections: Count = pydantic.Field(
        default=2000,
        description='Maximum open connections.',
    )
    max_body_bytes: Count = pydantic.Field(
        default=_MEBIBYTE,
        description='Maximum body size of an online request, in bytes.',
    )
    max_batch_body_bytes: Count = pydantic.Field(
        default=128 * _MEBIBYTE,
        description='Maximum body size of a batch submission, in bytes.',
    )
    stream_buffer_bytes: Count = pydantic.Field(
        default=64 * _KIBIBYTE,
        description='Maximum bytes buffered for a caller that reads slowly.',
    )


class OperatorSettings(SettingsModel):
    """Settings of the operator port."""

    listen: ListenSettings
    token: Secret = pydantic.Field(description='Bearer token of the operators.')
    threads: Count = pydantic.Field(
        default=8,
        description='Maximum operator requests served concurrently.',
    )


class PeerSettings(SettingsModel):
    """Settings of the peer port, over which entry hosts talk to each other.

    Membership uses UDP and calls use TCP, both on the same port number.
    """

    listen: ListenSettings
    fleet_key: Secret = pydantic.Field(
        description='Key with which all entry hosts authenticate messages.',
    )
    seeds: tuple[str, ...] = pydantic.Field(
        default=(),
        description='Addresses of peers as IP:PORT, in addition to those '
        'that the platform lists.',
    )
    probe_interval_s: Positive = pydantic.Field(
        default=0.5,
        description='Seconds between probes; each probe checks one peer.',
    )
    probe_timeout_s: Positive = pydantic.Field(
        default=0.25,
        description='Seconds that a probe waits for an answer.',
    )
    suspicion_s: Positive = pydantic.Field(
        default=3,
        description='Seconds that a suspected peer has to refute the '
        'suspicion; longer in fleets of more than ten hosts.',
    )


class PlatformSettings(SettingsModel):
    """Settings for calls to the platform's object API."""

    url: str = pydantic.Field(
        pattern=r'^https?://[0-9a-fA-F.:\[\]]+:\d+$',
        description='URL with an IP address and a port.',
    )
    token: Secret | None = pydantic.Field(
        default=None,
        description='Bearer token for the platform.',
    )
    call_timeout_s: Positive = pydantic.Field(
        default=2,
        description='Timeout of one call, in seconds.',
    )
    watch_wait_s: Positive = pydantic.Field(
        default=20,
        description='Seconds that one watch call waits for an event.',
    )
    freshness_s: Positive = pydantic.Field(
        default=2,
        description='Seconds within which a host has to learn of a new '
        'configuration or a leaving backend server, whichever of its ways '
        'to the platform has failed.',
    )
    revocation_s: NonNegative = pydantic.Field(
        default=0,
        description='Seconds after which a key that was removed must not be '
        'served by any host, however it is cut off; 0 for no bound.',
    )
    job_end_s: Positive = pydantic.Field(
        default=3,
        description='Seconds within which a host has to learn that a batch '
        'job has been cancelled, whichever of its ways to the platform has '
        'failed.',
    )
    entry_expiry_s: Positive = pydantic.Field(
        default=3.6,
        description='Seconds without a heartbeat after which the platform '
        'removes the entry of a backend server.',
    )
    relist_interval_s: Positive = pydantic.Field(
        default=60,
        description='Seconds between full lists, which cover for a watch '
        'that silently stops delivering events.',
    )
    fleet_writes_per_s: Positive = pydantic.Field(
        default=300,
        description='Maximum writes per second of all entry hosts together.',
    )
    fleet_reads_per_s: Positive = pydantic.Field(
        default=2000,
        description='Maximum reads per second of all entry hosts together.',
    )
    burst_calls: Count = pydantic.Field(
        default=200,
        description='Maximum calls that one host may make in a burst.',
    )


class OnlineSettings(SettingsModel):
    """Settings of online requests."""

    default_deadline_s: Positive = pydantic.Field(
        default=60,
        description='Deadline of a request that sets none, in seconds.',
    )
    connect_timeout_s: Positive = pydantic.Field(
        default=0.5,
        description='Timeout for connecting to a backend server, in seconds.',
    )
    first_byte_timeout_s: Positive = pydantic.Field(
        default=10,
        description=(
            'Seconds without an answer after which a streamed request goes to '
            'another server, if it may and one takes it.'
        ),
    )
    gap_timeout_s: Positive = pydantic.Field(
        default=2,
        description=(
            'Seconds without data after which an answer is continued at '
            'another server, if it may be and one takes it.'
        ),
    )
    idle_connection_s: Positive = pydantic.Field(
        default=5,
        description='Seconds after which an idle connection is not reused.',
    )
    queue_length: Count = pydantic.Field(
        default=256,
        description='Maximum online requests queued on this host.',
    )
    load_polls_per_s: Positive = pydantic.Field(
        default=10,
        description='Backend servers polled for their load per second.',
    )
    retry_budget_ratio: Positive = pydantic.Field(
        default=0.15,
        description='Retry budget: allowed retries as a fraction of requests.',
    )
    claim_kept_s: Positive = pydantic.Field(
        default=86_400,
        description='Seconds for which an idempotency key is stored.',
    )


class BatchSettings(SettingsModel):
    """Settings of batch jobs."""

    max_items: Count = pydantic.Field(
        default=51_000,
        description='Maximum items in one job.',
    )
    chunk_items: Count = pydantic.Field(
        default=500,
        description='Maximum items in one chunk.',
    )
    chunk_bytes: Count = pydantic.Field(
        default=512 * _KIBIBYTE,
        description='Maximum uncompressed size of one chunk, in bytes.',
    )
    lease_s: Positive = pydantic.Field(
        default=15,
        description='Seconds after which a lease expires without renewal.',
    )
    lease_renewal_s: Positive = pydantic.Field(
        default=5,
        description='Seconds between renewals of a lease.',
    )
    lease_margin_s: Positive = pydantic.Field(
        default=3,
        description='Seconds before a lease expires from which its holder '
        'starts no item.',
    )
    poll_interval_s: Positive = pydantic.Field(
        default=2,
        description='Seconds between searches for work.',
    )
    max_attempts: Count = pydantic.Field(
        default=3,
        description='Attempts after which an item is recorded as failed.',
    )
    item_timeout_s: Positive = pydantic.Field(
        default=120,
        description='Timeout of one attempt at an item, in seconds.',
    )
    workers: Count = pydantic.Field(
        default=64,
        description='Maximum items in flight on this host.',
    )
    retention_s: Positive = pydantic.Field(
        default=7 * 86_400,
        description='Seconds for which results can be read after a job ends.',
    )


class OrderSettings(SettingsModel):
    """Settings of the load and unload orders to managed engines."""

    interval_s: Positive = pydantic.Field(
        default=2,
        description='Seconds between checks of the engines.',
    )
    lease_s: Positive = pydantic.Field(
        default=15,
        description='Duration in seconds of the lease on an engine that '
        'does not check fencing tokens.',
    )
    lease_margin_s: Positive = pydantic.Field(
        default=5,
        description='Seconds before a lease expires from which its holder '
        'sends no order.',
    )
    loads_at_once: Count = pydantic.Field(
        default=2,
        description='Maximum engines of a zone that load weights concurrently.',
    )
    load_permit_s: Positive = pydantic.Field(
        default=600,
        description='Seconds after which a load is assumed to have ended.',
    )
    unload_permit_s: Positive = pydantic.Field(
        default=60,
        description='Seconds after which an unload is assumed to have ended.',
    )


class StopSettings(SettingsModel):
    """Settings of a planned stop."""

    balancer_delay_s: Annotated[float, pydantic.Field(ge=0)] = pydantic.Field(
        default=5,
        description='Seconds for which requests are still accepted after '
        'the host reports that it is not ready.',
    )
    longest_s: Positive = pydantic.Field(
        default=600,
        description='Maximum seconds to wait for requests in flight.',
    )


class ForwardSettings(SettingsModel):
    """Settings of forwarded requests and of batch items that run as such."""

    longest_wait_s: Positive = pydantic.Field(
        default=1.5,
        description='Estimated wait at backend servers, in seconds, above '
        'which requests of a route without a latency objective are refused.',
    )
    silence_s: Positive = pydantic.Field(
        default=1,
        description='Seconds without data after which an answer that may be '
        'repeated moves to another backend server, if one takes it; half as '
        'long again while all other servers are silent too.',
    )
    connect_timeout_s: Positive = pydantic.Field(
        default=0.1,
        description='Timeout for connecting to a backend server of the '
        'region, in seconds.',
    )
    patience_share: Positive = pydantic.Field(
        default=0.5,
        description='Share of the latency objective after which a request '
        'without its first event moves to another backend server, if one '
        'takes it.',
    )
    idle_connection_s: Positive = pydantic.Field(
        default=4,
        description='Seconds after which an idle connection is not reused.',
    )
    item_workers: Count = pydantic.Field(
        default=32,
        description='Maximum batch items in flight on this host.',
    )
    item_silence_s: Positive = pydantic.Field(
        default=5,
        description='Seconds without data after which a batch item moves '
        'to another backend server that has a free slot for it.',
    )
    result_retention_s: Positive = pydantic.Field(
        default=120,
        description='Seconds for which results can be read.',
    )
    notice_interval_s: Positive = pydantic.Field(
        default=0.1,
        description='Seconds between load notices to other hosts.',
    )
    # Ratios up to 1.2 were learned from servers of equal speed under load; the
    # slowest servers that are known run at 0.7 times the usual speed.
    speed_spread: float = pydantic.Field(
        default=1.5,
        ge=0,
        description='Ratio of the learned speeds of the servers of a service '
        'from which requests are placed by their expected cost and the '
        'remaining work of the servers; 0 for never.',
    )


class HostSettings(SettingsModel):
    """Settings that all daemons of the fleet have in common."""

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
        description='Lowest severity that is logged.',
    )


class EntrySettings(HostSettings):
    """All settings of an entry host."""

    caller: CallerSettings
    operator: OperatorSettings
    online: OnlineSettings = OnlineSettings()
    batch: BatchSettings = BatchSettings()
    orders: OrderSettings = OrderSettings()
    data_folder: Path | None = pydantic.Field(
        default=None,
        description='Folder for cached and spooled data on hosts with a disk.',
    )


class ForwardHostSettings(HostSettings):
    """All settings of a host that forwards requests and runs batch items.

    A host without a caller port only runs batch items.
    """

    caller: CallerSettings | None = None
    readiness: ListenSettings | None = pydantic.Field(
        default=None,
        description='Port of the readiness check for load balancers.',
    )
    forward: ForwardSettings = ForwardSettings()
    zones: tuple[str, ...] = pydantic.Field(
        default=(),
        description='Availability zones of the fleet. A host that sees fewer '
        'of their hosts than before issues less of the allowances of teams.',
    )


def validation_findings(error: pydantic.ValidationError) -> tuple[Finding, ...]:
    """Convert pydantic's validation errors to findings with JSON paths."""
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
    """Read and validate a settings file.

    Args:
        path: JSON file.

    Raises:
        GuavadykeError: ``settings_invalid`` with every finding and its JSON
            path.
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
            f'{path} contains invalid settings',
            findings=validation_findings(error),
        ) from error
