"""Reading a submission: each bad line is found before any is accepted."""

from __future__ import annotations

import dataclasses
import datetime as dt
import hashlib
import json
from collections.abc import Iterator
from typing import BinaryIO

from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.settings import BatchSettings, CallerSettings

_SHOWN_FINDINGS = 100
_LONGEST_CUSTOM_ID = 256
_KEYS = frozenset(('custom_id', 'body', 'idempotent'))
_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True)
class CheckedInput:
    """What the first reading of a submission gives."""

    items: int
    digest: str


@dataclasses.dataclass
class _Findings:
    shown: list[Finding] = dataclasses.field(default_factory=list)
    count: int = 0

    def add(self, number: int, message: str) -> None:
        self.count += 1
        if len(self.shown) < _SHOWN_FINDINGS:
            self.shown.append(Finding(f'line {number}', message))


def parse_time(text: str, place: str) -> float:
    """Return an RFC 3339 time in seconds since the epoch.

    Raises:
        GuavadykeError: ``bad_request`` where it is none.
    """
    try:
        parsed = dt.datetime.fromisoformat(text)
    except ValueError:
        raise _bad_time(place) from None
    if parsed.tzinfo is None:
        raise _bad_time(place)
    return parsed.timestamp()


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as an RFC 3339 time."""
    moment = dt.datetime.fromtimestamp(seconds, dt.UTC)
    return moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


class SubmissionReader:
    """Reads the lines of a submission in bounded memory.

    Args:
        body_input: seekable body.
        batch: limits of a job and of its chunks.
        caller: limit of the body.
    """

    def __init__(
        self,
        body_input: BinaryIO,
        batch: BatchSettings,
        caller: CallerSettings,
    ) -> None:
        self._input = body_input
        self._batch = batch
        self._caller = caller

    def check(self) -> CheckedInput:
        """Read all lines once.

        Raises:
            GuavadykeError: with a finding for each bad line.
        """
        findings = _Findings()
        digest = hashlib.sha256()
        seen: dict[bytes, int] = {}
        for number, line in self._numbered():
            digest.update(line)
            digest.update(b'\n')
            self._check_line(number, line, seen, findings)
        items = len(seen)
        if not items and not findings.count:
            findings.add(1, 'there is no item')
        if items > self._batch.max_items:
            findings.add(
                self._batch.max_items + 1,
                f'more than {self._batch.max_items} items',
            )
        if findings.count:
            raise _refusal(findings)
        return CheckedInput(items, digest.hexdigest())

    def lines(self) -> Iterator[bytes]:
        """Yield the lines again, without blank ones."""
        self._input.seek(0)
        for _number, line in self._numbered():
            yield line

    def _numbered(self) -> Iterator[tuple[int, bytes]]:
        longest = self._batch.chunk_bytes
        total = 0
        number = 0
        while line := self._input.readline(longest + 2):
            number += 1
            total += len(line)
            if total > self._caller.max_batch_body_bytes:
                raise _too_large(
                    'body',
                    self._caller.max_batch_body_bytes,
                )
            stripped = line.strip()
            if len(stripped) > longest:
                raise _too_large(f'line {number}', longest)
            if stripped:
                yield number, stripped

    def _check_line(
        self,
        number: int,
        line: bytes,
        seen: dict[bytes, int],
        findings: _Findings,
    ) -> None:
        try:
            document = json.loads(line, parse_constant=_refuse_constant)
        except (ValueError, RecursionError) as error:
            findings.add(number, f'not JSON: {error}')
            return
        problems = tuple(_problems(document))
        for problem in problems:
            findings.add(number, problem)
        if problems:
            return
        key = _key(document['custom_id'])
        first = seen.setdefault(key, number)
        if first != number:
            findings.add(number, f'custom_id is that of line {first}')


def _key(custom_id: str) -> bytes:
    encoded = custom_id.encode(errors='surrogatepass')
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()


def _refuse_constant(text: str) -> object:
    raise ValueError(f'{text} is no JSON')


def _problems(document: object) -> Iterator[str]:
    if not isinstance(document, dict):
        yield 'not an object'
        return
    custom_id = document.get('custom_id')
    if not isinstance(custom_id, str) or not custom_id:
        yield 'custom_id is not a string with characters'
    elif len(custom_id) > _LONGEST_CUSTOM_ID:
        yield f'custom_id has more than {_LONGEST_CUSTOM_ID} characters'
    if not isinstance(document.get('body'), dict):
        yield 'body is not an object'
    if not isinstance(document.get('idempotent', True), bool):
        yield 'idempotent is neither true nor false'
    unknown = sorted(set(document) - _KEYS)
    if unknown:
        yield f'unknown keys: {", ".join(unknown)[:_LONGEST_CUSTOM_ID]}'


def _refusal(findings: _Findings) -> GuavadykeError:
    hidden = findings.count - len(findings.shown)
    shown = list(findings.shown)
    if hidden:
        shown.append(Finding('body', f'{hidden} more findings'))
    return GuavadykeError(
        ErrorCode.bad_request,
        f'the job has {findings.count} findings; none of it is accepted',
        findings=tuple(shown),
    )


def _too_large(place: str, limit_bytes: int) -> GuavadykeError:
    message = f'larger than {limit_bytes} bytes'
    return GuavadykeError(
        ErrorCode.too_large,
        f'{place} is {message}',
        findings=(Finding(place, message),),
    )


def _bad_time(place: str) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.bad_request,
        'a time is wrong',
        findings=(Finding(place, 'not an RFC 3339 time with an offset'),),
    )
