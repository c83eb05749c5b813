"""Server-sent events of a streamed answer, over one or more attempts.

Only whole events are passed on. An answer that breaks off can be resumed
from the text received so far, and a truncated one is never passed as
complete.
"""

from __future__ import annotations

import dataclasses
import json
import re
import zlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

_EVENT_END = b'\n\n'
_DONE_LINE = b'data: [DONE]'
_DONE_EVENT = b'data: [DONE]\n\n'
_DATA_FIELD = b'data:'
_ERROR_KEY = b'"error"'
_FINISH_KEY = b'"finish_reason"'
_ERROR_EVENT = re.compile(rb'(?:^|\n)data: ?\{\s*"error"')
_FINISH_REASON = re.compile(rb'"finish_reason"\s*:\s*"')
_ID = re.compile(rb'"id"\s*:\s*"[^"\\]*"')
_COMPRESS_AFTER_BYTES = 16_384
_COMPRESSION_LEVEL = 1
_RESUMABLE_KEYS = frozenset(('role', 'content', 'refusal'))

Document = Mapping[str, Any]


class StreamFaultError(Exception):
    """The stream is not a valid answer to its request."""


class CrossedStreamError(StreamFaultError):
    """The stream contains events of another answer."""


@dataclasses.dataclass(frozen=True)
class PartialAnswer:
    """The part of an answer that has been received.

    ``tokens`` counts the events with text. ``resumable`` is False where
    the text is not enough to continue, as with several choices or tool
    calls.
    """

    text: str = ''
    tokens: int = 0
    resumable: bool = True

    def dump(self) -> str:
        """Return text and token count as JSON."""
        return json.dumps({'text': self.text, 'tokens': self.tokens})

    @classmethod
    def load(cls, text: str) -> PartialAnswer:
        """Parse the result of ``dump``; an empty string gives an empty part."""
        if not text:
            return cls()
        document = json.loads(text)
        return cls(text=document['text'], tokens=document['tokens'])


EMPTY_ANSWER = PartialAnswer()


def encode_event(document: object) -> bytes:
    """Return a server-sent event with the document as its JSON data."""
    text = json.dumps(document, separators=(',', ':'))
    return b'data: %b\n\n' % text.encode()


def event_documents(block: bytes) -> Iterator[dict[str, Any]]:
    """Yield the JSON documents of whole events, without the end mark.

    Raises:
        StreamFaultError: the data of an event is not JSON.
    """
    for line in block.splitlines():
        if not line.startswith(_DATA_FIELD) or line.startswith(_DONE_LINE):
            continue
        try:
            yield json.loads(line.removeprefix(_DATA_FIELD))
        except ValueError as error:
            raise StreamFaultError('an event is not JSON') from error


class AnswerText:
    """Collects text, usage and common fields of an answer from its events.

    Raw events are kept compressed and parsed only when the text is read,
    which keeps the work for each token small. ``frame`` holds the fields
    ``id``, ``created`` and ``model``.

    Args:
        partial: the part that an earlier run has produced.
    """

    def __init__(self, partial: PartialAnswer = EMPTY_ANSWER) -> None:
        self.frame: dict[str, Any] = {}
        self.finish_reason = ''
        self.usage: dict[str, int] = {}
        self._texts = [partial.text]
        self._tokens = partial.tokens
        self._resumable = partial.resumable
        self._compressed: list[bytes] = []
        self._raw: list[bytes] = []
        self._raw_bytes = 0

    @property
    def partial(self) -> PartialAnswer:
        """What has been received so far."""
        self._read_kept_events()
        self._texts = [''.join(self._texts)]
        return PartialAnswer(self._texts[0], self._tokens, self._resumable)

    def add(self, block: bytes) -> None:
        """Add a block of whole events."""
        self._raw.append(block)
        self._raw_bytes += len(block)
        if self._raw_bytes > _COMPRESS_AFTER_BYTES:
            self._compress_kept()

    def _compress_kept(self) -> None:
        self._compressed.append(
            zlib.compress(b''.join(self._raw), _COMPRESSION_LEVEL)
        )
        self._raw = []
        self._raw_bytes = 0

    def _read_kept_events(self) -> None:
        """Parse the events added since the last call."""
        self._compress_kept()
        blocks = b''.join(map(zlib.decompress, self._compressed))
        self._compressed = []
        try:
            for document in event_documents(blocks):
                self._read_document(document)
        except (StreamFaultError, AttributeError, TypeError):
            # Events of another shape can't be continued.
            self._resumable = False

    def _read_document(self, document: Document) -> None:
        if not self.frame:
            self.frame = {
                key: document[key]
                for key in ('id', 'created', 'model')
                if key in document
            }
        self.usage = document.get('usage') or self.usage
        for choice in document.get('choices', ()):
            self._read_choice(choice)

    def _read_choice(self, choice: Document) -> None:
        delta = choice.get('delta', {})
        simple = _RESUMABLE_KEYS.issuperset(delta)
        if choice.get('index', 0) or not simple:
            self._resumable = False
        text = choice_text(choice)
        if text:
            self._texts.append(text)
            self._tokens += 1
        self.finish_reason = choice.get('finish_reason') or self.finish_reason


def _has_finish_reason(block: bytes) -> bool:
    """Return whether any event of a block has a finish reason.

    Most events have a null there, which is checked first as it is faster
    than the regular expression.
    """
    unfinished = block.count(b'"finish_reason":null')
    unfinished += block.count(b'"finish_reason": null')
    if unfinished == block.count(_FINISH_KEY):
        return False
    return _FINISH_REASON.search(block) is not None


def choice_text(choice: Document) -> str:
    """Return the text in a choice of an event, of a chat or a completion."""
    delta = choice.get('delta')
    text = choice.get('text') if delta is None else delta.get('content')
    return text or ''


class StreamRelay:
    """Relays the events of one answer, over one or more attempts.

    Only whole events are passed on, and the end mark only after a finish
    reason. An error event or an event of another answer ends the attempt.

    Args:
        chat: whether the events are those of a chat completion.
        partial: the part that an earlier run has produced.
        answer_token_limit: number of tokens after which the answer is
            complete; None where the request sets no limit.
    """

    def __init__(
        self,
        *,
        chat: bool,
        partial: PartialAnswer = EMPTY_ANSWER,
        answer_token_limit: int | None = None,
    ) -> None:
        self.text = AnswerText(partial)
        self._chat = chat
        self._longest_tokens = answer_token_limit
        self._incomplete_event = b''
        self._id = b''
        self._finished = False
        self._done = False
        self._rewrite: Callable[[bytes], bytes] | None = None

    @property
    def complete(self) -> bool:
        """Whether the end mark was received after a finish reason."""
        return self._done

    @property
    def partial(self) -> PartialAnswer:
        """What has been received so far."""
        return self.text.partial

    def resume(self) -> None:
        """Start another attempt, which continues after the partial answer."""
        partial = self.text.partial
        self._incomplete_event = b''
        self._id = b''
        self._rewrite = _Rewriter(self.text.frame, partial)

    @property
    def lacks_only_end(self) -> bool:
        """Whether no token is missing, though its end may be."""
        return self._done or self._finished or self._has_all_tokens()

    def closing_events(self) -> bytes:
        """Return the missing final events of an answer with all its tokens.

        A stream that broke between its last token and the end mark needs
        no other attempt. Empty where the answer is complete or tokens are
        missing.
        """
        if self._finished and not self._done:
            self._done = True
            return _DONE_EVENT
        if self._done or not self._has_all_tokens():
            return b''
        self._finished = True
        self._done = True
        closing = encode_event(self._length_event())
        self.text.add(closing)
        return closing + _DONE_EVENT

    def feed(self, piece: bytes) -> bytes:
        """Process a piece of the body; return the events to pass on.

        Raises:
            StreamFaultError: the events report an error, belong to another
                answer, or end without a finish reason.
        """
        block = self._whole_events(piece)
        if not block:
            return block
        if _ERROR_KEY in block and _ERROR_EVENT.search(block):
            raise StreamFaultError('the backend server reported an error')
        self._check_answer_id(block)
        if self._rewrite is not None:
            block = self._rewrite(block)
        return self._accept(block)

    def _has_all_tokens(self) -> bool:
        longest = self._longest_tokens
        return longest is not None and self.text.partial.tokens >= longest

    def _whole_events(self, piece: bytes) -> bytes:
        received = (
            self._incomplete_event + piece if self._incomplete_event else piece
        )
        if b'\r' in received:
            received = received.replace(b'\r\n', b'\n')
        end = received.rfind(_EVENT_END)
        if end < 0:
            self._incomplete_event = received
            return b''
        end += len(_EVENT_END)
        self._incomplete_event = received[end:]
        return received[:end]

    def _accept(self, block: bytes) -> bytes:
        if not self._finished and _has_finish_reason(block):
            self._finished = True
        if _DONE_LINE in block:
            block = self._accept_end_mark(block)
        self.text.add(block)
        return block

    def _accept_end_mark(self, block: bytes) -> bytes:
        """Accept the end mark, which is valid only after a finish reason."""
        if not self._finished:
            raise StreamFaultError('the stream ended before a finish reason')
        self._done = True
        before, _mark, _rest = block.partition(_DONE_LINE)
        return before + _DONE_EVENT

    def _check_answer_id(self, block: bytes) -> None:
        """Check that every event has the same id as the first one."""
        if not self._id:
            found = _ID.search(block)
            if found is None:
                return
            self._id = found.group()
        events = block.count(_EVENT_END) - block.count(_DONE_LINE)
        if block.count(self._id) >= events:
            return
        other_ids = {mark for mark in _ID.findall(block) if mark != self._id}
        if other_ids:
            raise CrossedStreamError('the stream holds another answer')

    def _length_event(self) -> dict[str, object]:
        choice: dict[str, object] = {'index': 0, 'finish_reason': 'length'}
        if self._chat:
            choice['delta'] = {}
        else:
            choice['text'] = ''
        kind = 'chat.completion.chunk' if self._chat else 'text_completion'
        return {**self.text.frame, 'object': kind, 'choices': [choice]}


class _Rewriter:
    """Changes events of a later attempt to continue those of the first.

    They get its id, creation time and model; usage covers all attempts.
    """

    def __init__(
        self, frame: Mapping[str, Any], partial: PartialAnswer
    ) -> None:
        self._frame = dict(frame)
        self._earlier = partial

    def __call__(self, block: bytes) -> bytes:
        kept = (
            self._rewritten(document) for document in event_documents(block)
        )
        done = _DONE_EVENT if _DONE_LINE in block else b''
        return b''.join((*(encode_event(one) for one in kept if one), done))

    def _rewritten(self, document: dict[str, Any]) -> dict[str, Any]:
        usage = document.get('usage')
        if usage:
            document['usage'] = self._whole_usage(usage)
        if not usage and not any(
            map(_has_content, document.get('choices', ()))
        ):
            return {}
        return document | self._frame

    def _whole_usage(self, usage: Document) -> dict[str, int]:
        tokens = self._earlier.tokens
        return {
            **usage,
            'prompt_tokens': usage.get('prompt_tokens', tokens) - tokens,
            'completion_tokens': usage.get('completion_tokens', 0) + tokens,
        }


def _has_content(choice: Document) -> bool:
    return bool(choice_text(choice) or choice.get('finish_reason'))


def whole_answer(text: AnswerText, *, chat: bool) -> dict[str, object]:
    """Return the answer in non-streaming form, built from its events."""
    partial = text.partial
    choice: dict[str, object] = {
        'index': 0,
        'finish_reason': text.finish_reason,
    }
    if chat:
        choice['message'] = {'role': 'assistant', 'content': partial.text}
    else:
        choice['text'] = partial.text
    return {
        **text.frame,
        'object': 'chat.completion' if chat else 'text_completion',
        'choices': [choice],
        'usage': text.usage or {'completion_tokens': partial.tokens},
    }


def resumed_request(
    request: Mapping[str, Any],
    partial: PartialAnswer,
    *,
    chat: bool,
) -> dict[str, Any]:
    """Return a request that continues a partial answer.

    The received text is its prefix, and the token limits are reduced.
    """
    if not partial.text:
        return dict(request)
    rest = dict(request)
    for key in ('max_tokens', 'max_completion_tokens'):
        if isinstance(request.get(key), int):
            rest[key] = request[key] - partial.tokens
    if not chat:
        rest['prompt'] = request['prompt'] + partial.text
        return rest
    partial_message = {'role': 'assistant', 'content': partial.text}
    rest['messages'] = [*request['messages'], partial_message]
    rest['continue_final_message'] = True
    rest['add_generation_prompt'] = False
    return rest
