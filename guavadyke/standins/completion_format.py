"""OpenAI's completion formats and the text that the engine stand-in generates.

A token depends only on the prompt and its index, so that a test can compute
the expected answer. A token is four letters and a middle dot. Tokens at the
end of a prompt count as generated before, which resumes an answer.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import types
import zlib
from collections.abc import Mapping

import pydantic

from guavadyke.standins.http import StandinRequest

_END_CHAR = '·'
_TOKEN_CHARS = 5
_LETTERS = 'aeiouyäöknñprst'
_VOCABULARY_SIZE = 1021
_VOCABULARY_STRIDE = 389
_DEFAULT_TOKENS = 16
_PROMPT_CHARS_PER_TOKEN = 4
_CHAT_PATH = '/v1/chat/completions'


class _Message(pydantic.BaseModel):
    role: str
    content: str | list[dict[str, object]] | None = ''

    def text(self) -> str:
        """Return the text of all parts."""
        if isinstance(self.content, list):
            return ''.join(str(part.get('text', '')) for part in self.content)
        return self.content or ''


class _StreamOptions(pydantic.BaseModel):
    include_usage: bool = False


class _Body(pydantic.BaseModel):
    model: str
    stream: bool = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)
    metadata: dict[str, object] = pydantic.Field(default_factory=dict)


class _ChatBody(_Body):
    messages: list[_Message] = pydantic.Field(min_length=1)
    continue_final_message: bool = False


class _TextBody(_Body):
    prompt: str


@dataclasses.dataclass(frozen=True)
class Completion:
    """A parsed completion request.

    ``prompt`` excludes the tokens that were generated before; ``first_index``
    is their number and so the index of the first token to generate.
    Generation ends before ``end_index``. ``marker`` is the body's
    ``metadata.standin``.
    """

    request_id: str
    chat: bool
    model: str
    prompt: str
    first_index: int
    end_index: int
    has_token_limit: bool
    streamed: bool
    usage: bool
    marker: str

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens to read before the first one is generated."""
        return (
            len(self.prompt) // _PROMPT_CHARS_PER_TOKEN + self.first_index + 1
        )

    @property
    def finish_reason(self) -> str:
        """OpenAI's ``finish_reason``."""
        return 'length' if self.has_token_limit else 'stop'


def parse_completion(request: StandinRequest) -> Completion:
    """Parse and check a request.

    Raises:
        pydantic.ValidationError: the body is invalid.
    """
    chat = request.path == _CHAT_PATH
    body = (
        _parse_chat_body(request.body)
        if chat
        else _parse_text_body(request.body)
    )
    prompt, first_index = _split_prompt(_prompt(body))
    limit = body.max_completion_tokens or body.max_tokens
    end_index = _DEFAULT_TOKENS if limit is None else first_index + limit
    return Completion(
        request_id=request.headers.get('x-request-id', ''),
        chat=chat,
        model=body.model,
        prompt=prompt,
        first_index=first_index,
        end_index=max(first_index, end_index),
        has_token_limit=limit is not None,
        streamed=body.stream,
        usage=bool(body.stream_options and body.stream_options.include_usage),
        marker=str(body.metadata.get('standin', '')),
    )


def token(prompt: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    return _vocabulary()[_vocabulary_index(prompt_seed(prompt), index)]


def prompt_seed(prompt: str) -> int:
    """Return the seed of the tokens in the answer to a prompt."""
    return zlib.crc32(prompt.encode())


def seeded_token(seed: int, index: int) -> str:
    """Return the token at an index of the answer with this seed."""
    return _vocabulary()[_vocabulary_index(seed, index)]


def answer_text(prompt: str, count: int = _DEFAULT_TOKENS) -> str:
    """Return the complete answer to a prompt, ``count`` tokens long.

    For a chat, ``chat_prompt`` gives the prompt.
    """
    seed = prompt_seed(prompt)
    return ''.join(seeded_token(seed, index) for index in range(count))


def chat_prompt(messages: list[Mapping[str, str]]) -> str:
    """Return the prompt of a chat: a line ``ROLE: CONTENT`` per message."""
    return '\n'.join(f'{turn["role"]}: {turn["content"]}' for turn in messages)


class AnswerRenderer:
    """Renders one answer in OpenAI's format, streamed or whole.

    Args:
        completion: the request that is answered.
    """

    def __init__(self, completion: Completion) -> None:
        self._completion = completion
        kind = 'chatcmpl' if completion.chat else 'cmpl'
        self._common_fields = {
            'id': f'{kind}-{completion.request_id}',
            'created': 0,
            'model': completion.model,
        }
        marker = 'CONTENT'
        piece = self._event(self._streamed_choice(marker, None))
        event_parts = piece.split(marker.encode())
        self._event_prefix = event_parts[0]
        self._event_suffix = event_parts[1]

    def token(self, text: str) -> bytes:
        """Return the event that carries one token."""
        return b''.join((self._event_prefix, text.encode(), self._event_suffix))

    def end_events(self, tokens: int) -> bytes:
        """Return the last events of a stream.

        Args:
            tokens: number of generated tokens, for the usage event.
        """
        completion = self._completion
        events = [
            self._event(self._streamed_choice('', completion.finish_reason)),
        ]
        if completion.usage:
            events.append(self._event(usage=self._usage(tokens)))
        events.append(self.done)
        return b''.join(events)

    @property
    def done(self) -> bytes:
        """The event that marks the end of a stream."""
        return b'data: [DONE]\n\n'

    def whole(self, text: str, tokens: int) -> bytes:
        """Return the answer to a request that is not streamed."""
        completion = self._completion
        part: dict[str, object] = {'text': text}
        if completion.chat:
            part = {'message': {'role': 'assistant', 'content': text}}
        choice = {
            'index': 0,
            **part,
            'finish_reason': completion.finish_reason,
        }
        document = {
            **self._common_fields,
            'object': 'chat.completion'
            if completion.chat
            else self._object_type,
            'choices': [choice],
            'usage': self._usage(tokens),
        }
        return json.dumps(document, ensure_ascii=False).encode()

    @property
    def _object_type(self) -> str:
        return (
            'chat.completion.chunk'
            if self._completion.chat
            else ('text_completion')
        )

    def _streamed_choice(
        self,
        text: str,
        finish_reason: str | None,
    ) -> dict[str, object]:
        part: dict[str, object] = {'text': text}
        if self._completion.chat:
            part = {'delta': {'content': text} if text else {}}
        return {'index': 0, **part, 'finish_reason': finish_reason}

    def _usage(self, tokens: int) -> dict[str, int]:
        prompt_tokens = self._completion.prompt_tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': tokens,
            'total_tokens': prompt_tokens + tokens,
        }

    def _event(
        self,
        *choices: Mapping[str, object],
        **fields: object,
    ) -> bytes:
        document = {
            **self._common_fields,
            'object': self._object_type,
            'choices': choices,
            **fields,
        }
        return f'data: {json.dumps(document, ensure_ascii=False)}\n\n'.encode()


def _parse_chat_body(raw: bytes) -> _ChatBody:
    return _ChatBody.model_validate_json(raw)


def _parse_text_body(raw: bytes) -> _TextBody:
    return _TextBody.model_validate_json(raw)


@functools.singledispatch
def _prompt(body: _Body) -> str:
    raise NotImplementedError(type(body).__name__)


@_prompt.register
def _chat_body_prompt(body: _ChatBody) -> str:
    messages = list(body.messages)
    partial = messages.pop().text() if body.continue_final_message else ''
    lines = '\n'.join(f'{turn.role}: {turn.text()}' for turn in messages)
    return f'{lines}{partial}'


@_prompt.register
def _text_body_prompt(body: _TextBody) -> str:
    return body.prompt


def _split_prompt(text: str) -> tuple[str, int]:
    """Split off the generated tokens at the end and return their number."""
    end_index = len(text)
    while end_index >= _TOKEN_CHARS and text[end_index - 1] == _END_CHAR:
        end_index -= _TOKEN_CHARS
    return text[:end_index], (len(text) - end_index) // _TOKEN_CHARS


def _vocabulary_index(seed: int, index: int) -> int:
    return (seed + index * _VOCABULARY_STRIDE) % _VOCABULARY_SIZE


@functools.cache
def _vocabulary() -> types.MappingProxyType[int, str]:
    base = len(_LETTERS)
    return types.MappingProxyType({
        number: ''.join((
            _LETTERS[number % base],
            _LETTERS[number // base % base],
            _LETTERS[number // base**2 % base],
            _LETTERS[(number * 7) % base],
            _END_CHAR,
        ))
        for number in range(_VOCABULARY_SIZE)
    })
