"""Teams, their keys, and daemons that serve them."""

from __future__ import annotations

import json
import types
from collections.abc import Mapping

import urllib3

from features import builders_forward_processes as processes
from features import builders_users_platform as users

KEYS: Mapping[str, tuple[str, ...]] = types.MappingProxyType({
    'amber': ('amber-first-secret', 'amber-second-secret'),
    'birch': ('birch-only-secret',),
})
UNKNOWN_KEY = 'nobodys-secret'
OPEN_PREFIX = '/open/'
NEW_CONFIGURATION_S = 5.0
STRICT = types.MappingProxyType({
    'Bounds__StrictRevoke': 'true',
    'Bounds__RevokeMs': '5000',
})


def team_configuration(
    version: int, keys: Mapping[str, tuple[str, ...]] = KEYS
) -> dict[str, object]:
    """Return a configuration with an anonymous route and these teams."""
    routes = users.configuration()['Routes']
    opened = users.route('open', OPEN_PREFIX, 'streaming', Anonymous=True)
    return {
        **users.configuration(*routes, opened, version=version),
        'Tenants': [
            {'Name': name, 'ApiKeys': team_keys}
            for name, team_keys in keys.items()
        ],
    }


def credentials(key: str) -> dict[str, str]:
    """Return the header that carries a key, none for an empty one."""
    return {'Authorization': f'tOKEN {key}'} if key else {}


def call(
    daemon: processes.DaemonProcess,
    target: str,
    key: str = '',
    *,
    method: str = 'GET',
    body: bytes = b'',
    **headers: str,
) -> urllib3.BaseHTTPResponse:
    """Make a call under a key; names of headers have underscores."""
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return daemon.call(
        method, target, body=body, headers={**named, **credentials(key)}
    )


def stream(
    daemon: processes.DaemonProcess,
    request_id: str,
    key: str = '',
    prefix: str = users.STREAM_PREFIX,
) -> urllib3.BaseHTTPResponse:
    """Request a stream whose caller claims to be of the team birch."""
    return call(
        daemon,
        f'{prefix}1',
        key,
        method='POST',
        body=b'text',
        Request_Id=request_id,
        Tenant_Id='birch',
    )


def submit(
    daemon: processes.DaemonProcess, job_id: str, key: str = ''
) -> urllib3.BaseHTTPResponse:
    """Submit a job whose items carry a key and claim a team."""
    document = users.job_document()
    for item in document['Items']:
        item['Headers'] |= {
            'Authorization ': f'Token {KEYS["amber"][0]}',
            'authorization': f'Token {KEYS["amber"][0]}',
            'TENANT-ID': 'birch',
        }
    return call(
        daemon,
        f'{users.JOB_PREFIX}1',
        key,
        method='POST',
        body=json.dumps(document).encode(),
        Request_Id=job_id,
    )


def job_statuses(
    daemon: processes.DaemonProcess, job_id: str, key: str = ''
) -> list[int]:
    """Read results and an item's body of a job, and cancel it."""
    calls = (
        ('GET', f'/api/lots/{job_id}?After=0'),
        ('GET', f'/api/items/{job_id}?Id=item-0'),
        ('DELETE', f'/api/lots/{job_id}'),
    )
    return [
        call(daemon, target, key, method=method).status
        for method, target in calls
    ]


def secrets_in(text: str) -> list[str]:
    """Return the keys that a text contains."""
    known = (key for keys in KEYS.values() for key in keys)
    return [key for key in (*known, UNKNOWN_KEY) if key in text]
