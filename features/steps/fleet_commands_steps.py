"""Steps of fleet_commands.feature."""

import dataclasses
import json
import shlex
import types

from behave import step
from behave.runner import Context
from click.testing import CliRunner

from features import builders_fleet as fleets
from features.steps.fleet_catalogue_steps import put
from guavadyke.adapters.ports import ListedHost, ReportedLoad
from guavadyke.cli_catalogue import catalogue
from guavadyke.cli_fleet import drain, fleet

_COMMANDS = types.MappingProxyType({
    'catalogue': catalogue,
    'fleet': fleet,
    'drain': drain,
})
_ADDRESS = '127.0.0.1:9'


@step('the command "{line}" is run')
def step_run(context: Context, line: str) -> None:
    name, *arguments = shlex.split(line)
    context.result = CliRunner().invoke(
        _COMMANDS[name],
        arguments,
        input=json.dumps(fleets.owner_entry()),
        env={
            'GUAVADYKE_OPERATOR_URL': context.hosts[0].operator.url,
            'GUAVADYKE_OPERATOR_TOKEN': fleets.TOKEN,
        },
    )


@step('the command prints "{text}"')
def step_prints(context: Context, text: str) -> None:
    assert context.result.exit_code == 0, context.result.output
    assert text in context.result.output, context.result.output


@step('the command is refused with "{code}"')
def step_command_refused(context: Context, code: str) -> None:
    assert context.result.exit_code == 1, context.result.output
    assert code in context.result.output, context.result.output


@step('a backend server "{server_id}" with one request in flight')
def step_backend_server(context: Context, server_id: str) -> None:
    context.servers.loads[_ADDRESS] = ReportedLoad(
        running=1,
        waiting=0,
        slots=4,
        leaving=False,
        age_s=0.1,
    )
    document = fleets.server_entry(_ADDRESS)
    answer = put(context.hosts[0], server_id, document)
    assert answer.status == 201, answer.data
    fleets.eventually(
        lambda: all(
            server_id in host.service.catalogue.current.backend_servers
            for host in context.hosts
        ),
        'the server is known',
    )


@step('the request in flight ends')
def step_request_ends(context: Context) -> None:
    _change_load(context, running=0)


@step('the backend server "{server_id}" reports that it is leaving')
def step_reports(context: Context, server_id: str) -> None:
    _change_load(context, leaving=True)


@step('the backend server "{server_id}" reports that it is staying')
def step_reports_staying(context: Context, server_id: str) -> None:
    _change_load(context, leaving=False)


def _change_load(context: Context, **changes: object) -> None:
    loads = context.servers.loads
    loads[_ADDRESS] = dataclasses.replace(loads[_ADDRESS], **changes)


@step('the host list marks "{server_id}" as leaving')
def step_listed(context: Context, server_id: str) -> None:
    context.platform.listed = (
        *context.platform.listed,
        ListedHost(server_id, 'backend', 'north', _ADDRESS, leaving=True),
    )


@step('every host counts "{server_id}" as leaving')
def step_all_leaving(context: Context, server_id: str) -> None:
    fleets.eventually(
        lambda: all(
            server_id in host.service.fleet.current.leaving
            for host in context.hosts
        ),
        f'{server_id} is leaving everywhere',
    )


@step('no host counts "{server_id}" as leaving')
def step_none_leaving(context: Context, server_id: str) -> None:
    fleets.eventually(
        lambda: (
            not any(
                server_id in host.service.fleet.current.leaving
                for host in context.hosts
            )
        ),
        f'{server_id} stays everywhere',
    )
