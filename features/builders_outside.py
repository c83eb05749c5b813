"""Builders of requests to the stand-ins and of adapters to them."""

from __future__ import annotations

import json
import random
from collections.abc import Mapping

from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.adapters.ports import BackendCall
from guavadyke.adapters.settled import SettledStore
from guavadyke.settings import PlatformSettings
from guavadyke.standins.completions import answer_text, chat_prompt
from guavadyke.standins.platform import PlatformStandin

LOOPBACK = '127.0.0.1'
CHAT_PATH = '/v1/chat/completions'
MESSAGES = ({'role': 'user', 'content': 'is the shepherd size 8 free?'},)
SHORT_TIMEOUT_S = 0.5


def platform_settings(standin: PlatformStandin) -> PlatformSettings:
    """Return settings that lead to a platform stand-in."""
    return PlatformSettings(
        url=f'http://{standin.address}',
        call_timeout_s=SHORT_TIMEOUT_S,
    )


def platform_store(
    standin: PlatformStandin,
    host_id: str = 'entry-1',
) -> HttpPlatformStore:
    """Return the adapter to a platform stand-in."""
    return HttpPlatformStore(platform_settings(standin), host_id=host_id)


def settled_store(standin: PlatformStandin) -> SettledStore:
    """Return a store with definite outcomes on a platform stand-in."""
    return SettledStore(
        platform_store(standin),
        SystemClock(),
        random.Random(7),
    )


def chat_body(**fields: object) -> bytes:
    """Return the body of a chat completion."""
    document = {'model': 'any', 'messages': MESSAGES, **fields}
    return json.dumps(document).encode()


def whole_text(tokens: int = 16) -> str:
    """Return the text that answers ``chat_body``."""
    return answer_text(chat_prompt(list(MESSAGES)), tokens)


def backend_call(
    address: str,
    body: bytes,
    *,
    request_id: str = 'req-1',
    path: str = CHAT_PATH,
    headers: Mapping[str, str] | None = None,
    fresh: bool = False,
) -> BackendCall:
    """Return a call with short timeouts."""
    return BackendCall(
        request_id=request_id,
        address=address,
        method='POST',
        path=path,
        headers={'Content-Type': 'application/json', **(headers or {})},
        body=body,
        connect_timeout_s=SHORT_TIMEOUT_S,
        first_byte_timeout_s=1,
        gap_timeout_s=SHORT_TIMEOUT_S,
        fresh=fresh,
    )


def streamed_text(body: bytes) -> str:
    """Return the text of a streamed chat completion."""
    events = [
        json.loads(line.removeprefix('data: '))
        for line in body.decode().split('\n\n')
        if line.startswith('data: {')
    ]
    return ''.join(
        choice['delta'].get('content', '')
        for event in events
        for choice in event['choices']
    )
