"""Reads and validates the body of a job submission.

All lines are checked before any is accepted, so that the caller gets a
finding for each bad line.
"""

from __future__ import annotations

import dataclasses
import datetime as dt
import hashlib
import json
from collections.abc import Iterator
from typing import BinaryIO

from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.settings import BatchSettings, CallerSettings

_MAX_SHOWN_FINDINGS = 100
_MAX_CUSTOM_ID_CHARACTERS = 256
_ALLOWED_KEYS = frozenset(('custom_id', 'body', 'idempotent'))
_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True)
class CheckedInput:
    """Number of items and SHA-256 digest (hex) of a valid submission."""

    items: int
    digest: str


@dataclasses.dataclass
class _Findings:
    shown: list[Finding] = dataclasses.field(default_factory=list)
    count: int = 0

    def add(self, number: int, message: str) -> None:
        self.count += 1
        if len(self.shown) < _MAX_SHOWN_FINDINGS:
            self.shown.append(Finding(f'line {number}', message))


def parse_time(text: str, place: str) -> float:
    """Return an RFC 3339 time in seconds since the epoch.

    Args:
        text: the time, with an offset from UTC.
        place: place of the finding, for example ``query.due``.

    Raises:
        GuavadykeError: ``bad_request`` where the text is no such time.
    """
    try:
        parsed = dt.datetime.fromisoformat(text)
    except ValueError:
        raise _time_error(place) from None
    if parsed.tzinfo is None:
        raise _time_error(place)
    return parsed.timestamp()


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as an RFC 3339 time."""
    moment = dt.datetime.fromtimestamp(seconds, dt.UTC)
    return moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


class SubmissionReader:
    """Reads the lines of a submission one by one, in bounded memory.

    Args:
        body_input: seekable body of the request, as NDJSON.
        batch: maximum items of a job and bytes of a line.
        caller: maximum bytes of the body.
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
        """Read and validate all lines.

        Raises:
            GuavadykeError: ``bad_request`` with findings for the bad lines,
                ``too_large`` where the body or a line is too long.
        """
        findings = _Findings()
        digest = hashlib.sha256()
        first_lines: dict[bytes, int] = {}
        for number, line in self._numbered_lines():
            digest.update(line)
            digest.update(b'\n')
            self._check_line(number, line, first_lines, findings)
        items = len(first_lines)
        if not items and not findings.count:
            findings.add(1, 'there is no item')
        if items > self._batch.max_items:
            findings.add(
                self._batch.max_items + 1,
                f'more than {self._batch.max_items} items',
            )
        if findings.count:
            raise _findings_error(findings)
        return CheckedInput(items, digest.hexdigest())

    def lines(self) -> Iterator[bytes]:
        """Read the body again and yield the lines that are not blank."""
        self._input.seek(0)
        for _number, line in self._numbered_lines():
            yield line

    def _numbered_lines(self) -> Iterator[tuple[int, bytes]]:
        max_line_bytes = self._batch.chunk_bytes
        total = 0
        number = 0
        while line := self._input.readline(max_line_bytes + 2):
            number += 1
            total += len(line)
            if total > self._caller.max_batch_body_bytes:
                raise _size_error(
                    'body',
                    self._caller.max_batch_body_bytes,
                )
            stripped = line.strip()
            if len(stripped) > max_line_bytes:
                raise _size_error(f'line {number}', max_line_bytes)
            if stripped:
                yield number, stripped

    def _check_line(
        self,
        number: int,
        line: bytes,
        first_lines: dict[bytes, int],
        findings: _Findings,
    ) -> None:
        try:
            document = json.loads(line, parse_constant=_reject_constant)
        except (ValueError, RecursionError) as error:
            findings.add(number, f'not JSON: {error}')
            return
        problems = tuple(_problems(document))
        for problem in problems:
            findings.add(number, problem)
        if problems:
            return
        key = _custom_id_digest(document['custom_id'])
        first = first_lines.setdefault(key, number)
        if first != number:
            findings.add(number, f'custom_id was already used in line {first}')


def _custom_id_digest(custom_id: str) -> bytes:
    encoded = custom_id.encode(errors='surrogatepass')
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()


def _reject_constant(text: str) -> object:
    raise ValueError(f'{text} is not valid JSON')


def _problems(document: object) -> Iterator[str]:
    if not isinstance(document, dict):
        yield 'not an object'
        return
    custom_id = document.get('custom_id')
    if not isinstance(custom_id, str) or not custom_id:
        yield 'custom_id is not a non-empty string'
    elif len(custom_id) > _MAX_CUSTOM_ID_CHARACTERS:
        yield f'custom_id has more than {_MAX_CUSTOM_ID_CHARACTERS} characters'
    if not isinstance(document.get('body'), dict):
        yield 'body is not an object'
    if not isinstance(document.get('idempotent', True), bool):
        yield 'idempotent is neither true nor false'
    unknown = sorted(set(document) - _ALLOWED_KEYS)
    if unknown:
        yield f'unknown keys: {", ".join(unknown)[:_MAX_CUSTOM_ID_CHARACTERS]}'


def _findings_error(findings: _Findings) -> GuavadykeError:
    hidden = findings.count - len(findings.shown)
    shown = list(findings.shown)
    if hidden:
        shown.append(Finding('body', f'{hidden} more findings'))
    return GuavadykeError(
        ErrorCode.bad_request,
        f'the job has {findings.count} findings; none of it was accepted',
        findings=tuple(shown),
    )


def _size_error(place: str, limit_bytes: int) -> GuavadykeError:
    message = f'larger than {limit_bytes} bytes'
    return GuavadykeError(
        ErrorCode.too_large,
        f'{place} is {message}',
        findings=(Finding(place, message),),
    )


def _time_error(place: str) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.bad_request,
        'a time is not valid',
        findings=(Finding(place, 'not an RFC 3339 time with an offset'),),
    )
