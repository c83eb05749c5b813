"""Steps of measure_docs.feature."""

import itertools
import re
from pathlib import Path

from behave import then, when
from behave.runner import Context

from guavadyke import catalogue, reference
from guavadyke.errors import ErrorCode
from guavadyke.measure import pages
from guavadyke.measure.slopes.capacity import capacity_page
from guavadyke.settings import EntrySettings, load_settings

_ROOT = Path(__file__).resolve().parents[2]
_DOCS = _ROOT / 'docs'
_LINK = re.compile(r'\[[^\]]*\]\(([^)\s]+)\)')
_CODE_ROW = re.compile(r'^\| `(\w+)` \| (\d+) \| `(\w+)` \|', re.MULTILINE)


@when('the settings reference is generated')
def step_settings_page(context: Context) -> None:
    context.page = reference.settings_page()


@then('docs/settings.md is equal to it')
def step_settings_current(context: Context) -> None:
    stored = (_DOCS / 'settings.md').read_text(encoding='utf-8')
    assert stored == context.page, (
        'run python -m guavadyke.reference > docs/settings.md'
    )


@then('it names every field of the settings')
def step_settings_fields(context: Context) -> None:
    paths = reference.field_paths(EntrySettings)
    assert len(paths) > 40
    assert all(f'| `{path}` |' in context.page for path in paths)


@when('the page of error codes is read')
def step_read_error_codes(context: Context) -> None:
    page = (_DOCS / 'error-codes.md').read_text(encoding='utf-8')
    context.rows = {
        name: (int(status), run)
        for name, status, run in _CODE_ROW.findall(page)
    }


@then('it gives the status and run meaning of every error code')
def step_code_meanings(context: Context) -> None:
    wrong = [
        str(code)
        for code in ErrorCode
        if context.rows.get(str(code)) != (code.status, str(code.run))
    ]
    assert not wrong, wrong


@then('it names no code that does not exist')
def step_no_unknown_codes(context: Context) -> None:
    unknown_codes = set(context.rows) - {str(code) for code in ErrorCode}
    assert not unknown_codes, unknown_codes


@when('the links of all pages are read')
def step_links(context: Context) -> None:
    pages = [_ROOT / 'README.md', *sorted(_DOCS.rglob('*.md'))]
    context.links = [
        (page, link.partition('#')[0])
        for page in pages
        for link in _LINK.findall(page.read_text(encoding='utf-8'))
        if not link.startswith(('http:', 'https:', '#'))
    ]


@then('each leads to a file that exists')
def step_links_resolve(context: Context) -> None:
    assert context.links
    broken = [
        f'{page.relative_to(_ROOT)}: {link}'
        for page, link in context.links
        if not (page.parent / link).exists()
    ]
    assert not broken, broken


@when('the example settings and catalogue objects are checked')
def step_examples(context: Context) -> None:
    context.sites = {
        folder.name: (
            [load_settings(path) for path in sorted(folder.glob('entry-*'))],
            {
                path.stem: catalogue.parse_entry(path.read_bytes())
                for path in sorted((folder / 'catalogue').glob('*.json'))
            },
        )
        for folder in sorted((_ROOT / 'examples').iterdir())
        if folder.is_dir()
    }


@then('each is valid and their host ids, addresses and names agree')
def step_examples_agree(context: Context) -> None:
    assert set(context.sites) == {'lammikko', 'pesebres'}
    for hosts, entries in context.sites.values():
        _check_hosts(hosts)
        _check_entries({host.zone for host in hosts}, entries)
    assert len(_engines(context.sites['lammikko'][1])) == 5
    assert len(context.sites['lammikko'][0]) == 4
    assert len(_engines(context.sites['pesebres'][1])) == 9
    assert len(context.sites['pesebres'][0]) == 3


def _engines(
    entries: dict[str, catalogue.CatalogueEntry],
) -> list[catalogue.BackendServerEntry]:
    return [
        entry
        for entry in entries.values()
        if isinstance(entry, catalogue.BackendServerEntry)
        and entry.role == 'engine'
    ]


def _check_hosts(hosts: list[EntrySettings]) -> None:
    assert len({host.host_id for host in hosts}) == len(hosts)
    assert len({host.platform.url for host in hosts}) == 1
    ports = list(
        itertools.chain.from_iterable(
            (
                host.caller.listen.port,
                host.operator.listen.port,
                host.peer.listen.port,
            )
            for host in hosts
        ),
    )
    assert len(set(ports)) == len(ports)


def _check_entries(
    zones: set[str],
    entries: dict[str, catalogue.CatalogueEntry],
) -> None:
    servers = [
        entry
        for entry in entries.values()
        if isinstance(entry, catalogue.BackendServerEntry)
    ]
    assert {server.zone for server in servers} <= zones
    assert len({server.address for server in servers}) == len(servers)
    assert {name for server in servers for name in server.serves} <= set(
        entries,
    )
    owners = {
        entry.owner for entry in entries.values() if hasattr(entry, 'owner')
    }
    assert owners <= set(entries)


@when('the reports under docs/measurements are read')
def step_reports(context: Context) -> None:
    context.reports = pages.read_reports(_DOCS / 'measurements')
    assert context.reports


@then('docs/MEASUREMENTS.md equals the page generated from them')
def step_measurements(context: Context) -> None:
    stored = (_DOCS / 'MEASUREMENTS.md').read_text(encoding='utf-8')
    assert stored == pages.measurements_page(context.reports)


@then('docs/CAPACITY.md equals the page generated from the report of slopes')
def step_capacity(context: Context) -> None:
    stored = (_DOCS / 'CAPACITY.md').read_text(encoding='utf-8')
    assert stored == capacity_page(context.reports['slopes'])
