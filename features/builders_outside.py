"""Builders of requests to the stand-ins and of adapters to them."""

from __future__ import annotations

import json
import random
from collections.abc import Mapping

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.adapters.ports import BackendCall
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.settings import PlatformSettings
from guavadyke.standins.completion_format import answer_text, chat_prompt
from guavadyke.standins.platform import PlatformStandin

LOOPBACK = '127.0.0.1'
CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'
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


def write_confirming_store(standin: PlatformStandin) -> WriteConfirmingStore:
    """Return a store with definite outcomes on a platform stand-in."""
    return WriteConfirmingStore(
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
    cancellation: CallCancellation | None = None,
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
        cancellation=cancellation,
    )


def streamed_text(body: bytes) -> str:
    """Return the text of a streamed chat completion."""
    return any_text(body, streamed=True)


def stream_events(body: bytes) -> list[dict[str, object]]:
    """Return the events of a streamed answer, without its end mark."""
    return [
        json.loads(line.removeprefix('data: '))
        for line in body.decode().split('\n\n')
        if line.startswith('data: {')
    ]


def any_text(body: bytes, *, streamed: bool) -> str:
    """Return the text of a chat or plain completion."""
    documents = stream_events(body) if streamed else [json.loads(body)]
    return ''.join(
        _choice_text(choice)
        for document in documents
        for choice in document['choices']
    )


def _choice_text(choice: Mapping[str, object]) -> str:
    part = choice.get('delta') or choice.get('message') or choice
    return part.get('content') or part.get('text') or ''


def resumed_chat_body(sent: int, **fields: object) -> bytes:
    """Return a chat that goes on after so many tokens."""
    partial = {'role': 'assistant', 'content': whole_text(sent)}
    return chat_body(
        messages=(*MESSAGES, partial),
        continue_final_message=True,
        add_generation_prompt=False,
        **fields,
    )


def resumed_text_body(prompt: str, sent: int, **fields: object) -> bytes:
    """Return a plain completion that goes on after so many tokens."""
    text = prompt + plain_text(prompt, sent)
    return json.dumps({'model': 'any', 'prompt': text, **fields}).encode()


def plain_text(prompt: str, tokens: int) -> str:
    """Return the text that answers a plain completion."""
    return answer_text(prompt, tokens)


def question(number: int) -> tuple[dict[str, str], ...]:
    """Return the messages of one of many chats."""
    return ({'role': 'user', 'content': f'question {number}'},)


def question_text(number: int, tokens: int) -> str:
    """Return the text that answers ``question``."""
    return answer_text(chat_prompt(list(question(number))), tokens)
