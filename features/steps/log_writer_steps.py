"""Steps of log_writer.feature."""

from __future__ import annotations

import logging
import os
import re
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.builders_processes import wait_until
from guavadyke.log_writer import LogWriter

_BLOCK_BYTES = 65_536
_READ_S = 5.0
_DROPPED = re.compile(r'event=log_records_dropped details=(\d+) warnings=(\d+)')


@given('a log whose reader has stopped')
def step_unread(context: Context) -> None:
    # Stays open: threads of the log and its reader may still use it.
    reading, writing = os.pipe()
    context.reading = reading
    context.log_text = ''
    context.writer = LogWriter(writing, logging.Formatter('%(message)s'))


@given('a log that is read')
def step_read(context: Context) -> None:
    step_unread(context)
    step_reader(context)


@when('the reader comes back')
def step_reader(context: Context) -> None:
    threading.Thread(target=_read, args=(context,), daemon=True).start()


@when('{details:d} details and {warnings:d} warnings are logged')
def step_log(context: Context, details: int, warnings: int) -> None:
    context.details = details
    context.warnings = warnings
    began = time.monotonic()
    for number in range(details):
        context.writer.handle(_record(logging.INFO, f'detail {number}'))
    for number in range(warnings):
        context.writer.handle(_record(logging.WARNING, f'warning {number}'))
    context.elapsed_s = time.monotonic() - began


@then('logging them took less than {seconds:d} seconds')
def step_quick(context: Context, seconds: int) -> None:
    assert context.elapsed_s < seconds, context.elapsed_s


@then('the dropped details are counted, and no warning is dropped')
def step_counted(context: Context) -> None:
    dropped = context.writer.dropped
    assert 0 < dropped['details'] < context.details, dropped
    assert not dropped['warnings'], dropped


@then('it reads all warnings and how many details are missing')
def step_missing(context: Context) -> None:
    assert wait_until(
        lambda: _details_known(context) == context.details, _READ_S
    ), _details_known(context)
    assert wait_until(
        lambda: context.log_text.count('\nwarning') == context.warnings,
        _READ_S,
    ), context.log_text.count('\nwarning')


@then('the end of logging takes less than {seconds:d} second')
def step_end(context: Context, seconds: int) -> None:
    began = time.monotonic()
    context.writer.flush()
    assert time.monotonic() - began < seconds


@then('it has every record in order')
def step_whole(context: Context) -> None:
    expected = [
        *(f'detail {number}' for number in range(context.details)),
        *(f'warning {number}' for number in range(context.warnings)),
    ]
    assert wait_until(
        lambda: context.log_text.count('\n') == len(expected), _READ_S
    )
    assert context.log_text.splitlines() == expected


def _details_known(context: Context) -> int:
    """Return how many details were read or counted as missing."""
    missing = [int(found[1]) for found in _DROPPED.finditer(context.log_text)]
    read = re.findall(r'^detail', context.log_text, re.MULTILINE)
    return sum(missing) + len(read)


def _record(level: int, message: str) -> logging.LogRecord:
    return logging.LogRecord('test', level, __file__, 0, message, (), None)


def _read(context: Context) -> None:
    pieces = iter(lambda: os.read(context.reading, _BLOCK_BYTES), b'')
    for piece in pieces:
        context.log_text += piece.decode()
