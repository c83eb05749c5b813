"""OpenAI's shapes for the engine stand-in, and the text that it generates.

The token at an index depends on the prompt and the index alone, so that a
test can say what the whole answer has to be. A token is four letters and
a middle dot; tokens at the end of a prompt are taken as generated before.
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

_LAST_CHAR = '·'
_TOKEN_CHARS = 5
_LETTERS = 'aeiouyäöknñprst'
_WORDS = 1021
_STRIDE = 389
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
    """A request to generate text.

    ``prompt`` is without the tokens that ``first`` counts as generated
    before; generation ends before the token ``end``. ``marker`` is the
    body's ``metadata.standin``.
    """

    request_id: str
    chat: bool
    model: str
    prompt: str
    first: int
    end: int
    limited: bool
    streamed: bool
    usage: bool
    marker: str

    @property
    def prompt_tokens(self) -> int:
        """Tokens that have to be read before the first is generated."""
        return len(self.prompt) // _PROMPT_CHARS_PER_TOKEN + self.first + 1

    @property
    def finish_reason(self) -> str:
        """Why generation ends."""
        return 'length' if self.limited else 'stop'


def parse_completion(request: StandinRequest) -> Completion:
    """Check a request.

    Raises:
        pydantic.ValidationError: with every finding.
    """
    chat = request.path == _CHAT_PATH
    body = _chat(request.body) if chat else _text(request.body)
    prompt, first = _split(_prompt(body))
    limit = body.max_completion_tokens or body.max_tokens
    end = _DEFAULT_TOKENS if limit is None else first + limit
    return Completion(
        request_id=request.headers.get('x-request-id', ''),
        chat=chat,
        model=body.model,
        prompt=prompt,
        first=first,
        end=max(first, end),
        limited=limit is not None,
        streamed=body.stream,
        usage=bool(body.stream_options and body.stream_options.include_usage),
        marker=str(body.metadata.get('standin', '')),
    )


def token(prompt: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    return _words()[_word_index(prompt_seed(prompt), index)]


def prompt_seed(prompt: str) -> int:
    """Return the number that the tokens of an answer follow from."""
    return zlib.crc32(prompt.encode())


def seeded_token(seed: int, index: int) -> str:
    """Return the token at an index of the answer with this seed."""
    return _words()[_word_index(seed, index)]


def answer_text(prompt: str, count: int = _DEFAULT_TOKENS) -> str:
    """Return the whole answer to a prompt of one piece.

    For a chat the prompt is one line ``ROLE: CONTENT`` for each message.
    """
    seed = prompt_seed(prompt)
    return ''.join(seeded_token(seed, index) for index in range(count))


def chat_prompt(messages: list[Mapping[str, str]]) -> str:
    """Return the prompt that the messages of a chat amount to."""
    return '\n'.join(f'{one["role"]}: {one["content"]}' for one in messages)


class AnswerShape:
    """Renders the pieces of one answer.

    Args:
        completion: the request that is answered.
    """

    def __init__(self, completion: Completion) -> None:
        self._completion = completion
        kind = 'chatcmpl' if completion.chat else 'cmpl'
        self._head = {
            'id': f'{kind}-{completion.request_id}',
            'created': 0,
            'model': completion.model,
        }
        marker = 'CONTENT'
        piece = self._event(self._streamed_choice(marker, None))
        halves = piece.split(marker.encode())
        self._before = halves[0]
        self._after = halves[1]

    def token(self, text: str) -> bytes:
        """Return the event of one token."""
        return b''.join((self._before, text.encode(), self._after))

    def last(self, tokens: int) -> bytes:
        """Return the events that end a stream."""
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
        """The mark of a stream's end."""
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
            **self._head,
            'object': 'chat.completion' if completion.chat else self._kind,
            'choices': [choice],
            'usage': self._usage(tokens),
        }
        return json.dumps(document, ensure_ascii=False).encode()

    @property
    def _kind(self) -> str:
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
            **self._head,
            'object': self._kind,
            'choices': choices,
            **fields,
        }
        return f'data: {json.dumps(document, ensure_ascii=False)}\n\n'.encode()


def _chat(raw: bytes) -> _ChatBody:
    return _ChatBody.model_validate_json(raw)


def _text(raw: bytes) -> _TextBody:
    return _TextBody.model_validate_json(raw)


@functools.singledispatch
def _prompt(body: _Body) -> str:
    raise NotImplementedError(type(body).__name__)


@_prompt.register
def _chat_body_prompt(body: _ChatBody) -> str:
    messages = list(body.messages)
    partial = messages.pop().text() if body.continue_final_message else ''
    lines = '\n'.join(f'{one.role}: {one.text()}' for one in messages)
    return f'{lines}{partial}'


@_prompt.register
def _text_body_prompt(body: _TextBody) -> str:
    return body.prompt


def _split(text: str) -> tuple[str, int]:
    """Return the prompt and how many generated tokens follow it."""
    end = len(text)
    while end >= _TOKEN_CHARS and text[end - 1] == _LAST_CHAR:
        end -= _TOKEN_CHARS
    return text[:end], (len(text) - end) // _TOKEN_CHARS


def _word_index(seed: int, index: int) -> int:
    return (seed + index * _STRIDE) % _WORDS


@functools.cache
def _words() -> types.MappingProxyType[int, str]:
    base = len(_LETTERS)
    return types.MappingProxyType({
        number: ''.join((
            _LETTERS[number % base],
            _LETTERS[number // base % base],
            _LETTERS[number // base**2 % base],
            _LETTERS[(number * 7) % base],
            _LAST_CHAR,
        ))
        for number in range(_WORDS)
    })
