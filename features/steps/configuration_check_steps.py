"""Steps of configuration_check.feature."""

from __future__ import annotations

import contextlib
import io
import json
import runpy
import sys
import tempfile
import types
from pathlib import Path
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from features import builders_configuration as build
from guavadyke.platform.check_command import check_configuration

_COMMAND = 'check-configuration'
_CONTENTS = types.MappingProxyType({
    'empty': b'',
    'not JSON': b'Version: 7',
    'not text': b'\xff\xfe{}',
    'a list': b'[]',
    'nested too deeply': b'[' * 5000,
    'cut off': json.dumps(build.document()).encode()[:-9],
})


@given('the configuration')
def step_sound(context: Context) -> None:
    _write(context, 'offered', json.dumps(build.document()).encode())


@given('the configuration with {place} as {text}')
def step_changed(context: Context, place: str, text: str) -> None:
    changed = build.changed(place, text)
    _write(context, 'offered', json.dumps(changed).encode())


@given('a configuration file that is {content}')
def step_content(context: Context, content: str) -> None:
    _write(context, 'offered', _CONTENTS[content])


@given('version {version:d} of the configuration in force')
def step_in_force(context: Context, version: int) -> None:
    document = build.document() | {'Version': version}
    _write(context, 'in-force', json.dumps(document).encode())


@given('a file that is no configuration in force')
def step_bad_in_force(context: Context) -> None:
    _write(context, 'in-force', b'{}')


@when('it is checked')
def step_check(context: Context) -> None:
    _check(context)


@when('it is checked against the version in force')
def step_compare(context: Context) -> None:
    _check(context, '--in-force', str(context.directory / 'in-force'))


@when('it is checked with output as JSON')
def step_json(context: Context) -> None:
    _check(context, '--json')


@then('the exit code is {code:d} and it prints "{text}"')
def step_prints(context: Context, code: int, text: str) -> None:
    assert context.done.exit_code == code, context.done.output
    assert text in context.done.output, context.done.output


@then('the exit code is {code:d} and the findings have these fields')
def step_fields(context: Context, code: int) -> None:
    assert context.done.exit_code == code, context.done.output
    expected = [dict(row.as_dict()) for row in context.table]
    assert json.loads(context.done.output) == {'findings': expected}


@when('the command line of the platform checks it')
def step_command_line(context: Context) -> None:
    path = str(context.directory / 'offered')
    output = io.StringIO()
    with (
        mock.patch.object(sys, 'argv', ['platform', _COMMAND, path]),
        contextlib.redirect_stdout(output),
    ):
        code = _exit_code()
    context.done = types.SimpleNamespace(
        exit_code=code, output=output.getvalue()
    )


@then('no key is printed')
def step_no_key(context: Context) -> None:
    for key in (build.FIRST_KEY, build.SECOND_KEY, 'sk-new'):
        assert key not in context.done.output, context.done.output


def _exit_code() -> object:
    """Run the package as a program and return its exit code."""
    try:
        runpy.run_module('guavadyke.platform', run_name='__main__')
    except SystemExit as ended:
        return ended.code
    return None


def _write(context: Context, name: str, body: bytes) -> None:
    if 'directory' not in context:
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.directory = Path(directory.name)
    (context.directory / name).write_bytes(body)


def _check(context: Context, *options: str) -> None:
    path = str(context.directory / 'offered')
    context.done = CliRunner().invoke(check_configuration, [path, *options])
