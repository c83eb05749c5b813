"""Server-sent events of a streamed answer: whole, resumable, never short."""

from __future__ import annotations

import dataclasses
import json
import re
import zlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

_END = b'\n\n'
_DONE = b'data: [DONE]'
_DONE_EVENT = b'data: [DONE]\n\n'
_DATA = b'data:'
_ERROR_KEY = b'"error"'
_FINISH_KEY = b'"finish_reason"'
_ERROR = re.compile(rb'(?:^|\n)data: ?\{\s*"error"')
_FINISH = re.compile(rb'"finish_reason"\s*:\s*"')
_ID = re.compile(rb'"id"\s*:\s*"[^"\\]*"')
_PACK_BYTES = 16_384
_PACK_LEVEL = 1
_RESUMABLE_KEYS = frozenset(('role', 'content', 'refusal'))

Document = Mapping[str, Any]


class StreamFaultError(Exception):
    """The stream cannot be taken as the answer to its request."""


class CrossedStreamError(StreamFaultError):
    """Events of another answer came on the stream."""


@dataclasses.dataclass(frozen=True)
class PartialAnswer:
    """What has been received of an answer.

    ``resumable`` is False where the text alone does not hold its state.
    """

    text: str = ''
    tokens: int = 0
    resumable: bool = True

    def dump(self) -> str:
        """Return the partial answer as text."""
        return json.dumps({'text': self.text, 'tokens': self.tokens})

    @classmethod
    def load(cls, text: str) -> PartialAnswer:
        """Read what ``dump`` has written; nothing where it is empty."""
        if not text:
            return cls()
        document = json.loads(text)
        return cls(text=document['text'], tokens=document['tokens'])


EMPTY_ANSWER = PartialAnswer()


def event(document: object) -> bytes:
    """Return one server-sent event whose data is JSON."""
    text = json.dumps(document, separators=(',', ':'))
    return b'data: %b\n\n' % text.encode()


def documents(block: bytes) -> Iterator[dict[str, Any]]:
    """Yield the JSON documents of whole events, the end mark left out.

    Raises:
        StreamFaultError: an event is not JSON.
    """
    for line in block.splitlines():
        if not line.startswith(_DATA) or line.startswith(_DONE):
            continue
        try:
            yield json.loads(line.removeprefix(_DATA))
        except ValueError as error:
            raise StreamFaultError('an event is not JSON') from error


class AnswerText:
    """Text, usage and frame of an answer, gathered from its events.

    Raw events are kept compressed and read only when the text is asked
    for, which keeps the work for each token small.

    Args:
        partial: what an earlier run has produced.
    """

    def __init__(self, partial: PartialAnswer = EMPTY_ANSWER) -> None:
        self.frame: dict[str, Any] = {}
        self.finish_reason = ''
        self.usage: dict[str, int] = {}
        self._texts = [partial.text]
        self._tokens = partial.tokens
        self._resumable = partial.resumable
        self._packed: list[bytes] = []
        self._raw: list[bytes] = []
        self._raw_bytes = 0

    @property
    def partial(self) -> PartialAnswer:
        """What has been received so far."""
        self._fold()
        self._texts = [''.join(self._texts)]
        return PartialAnswer(self._texts[0], self._tokens, self._resumable)

    def add(self, block: bytes) -> None:
        """Keep whole events."""
        self._raw.append(block)
        self._raw_bytes += len(block)
        if self._raw_bytes > _PACK_BYTES:
            self._pack()

    def _pack(self) -> None:
        self._packed.append(zlib.compress(b''.join(self._raw), _PACK_LEVEL))
        self._raw = []
        self._raw_bytes = 0

    def _fold(self) -> None:
        """Read the events that were kept."""
        self._pack()
        blocks = b''.join(map(zlib.decompress, self._packed))
        self._packed = []
        try:
            for document in documents(blocks):
                self._take(document)
        except StreamFaultError:
            self._resumable = False

    def _take(self, document: Document) -> None:
        if not self.frame:
            self.frame = {
                key: document[key]
                for key in ('id', 'created', 'model')
                if key in document
            }
        self.usage = document.get('usage') or self.usage
        for choice in document.get('choices', ()):
            self._take_choice(choice)

    def _take_choice(self, choice: Document) -> None:
        delta = choice.get('delta', {})
        simple = _RESUMABLE_KEYS.issuperset(delta)
        if choice.get('index', 0) or not simple:
            self._resumable = False
        text = choice_text(choice)
        if text:
            self._texts.append(text)
            self._tokens += 1
        self.finish_reason = choice.get('finish_reason') or self.finish_reason


def _finishes(block: bytes) -> bool:
    """Return whether an event gives a finish reason.

    Most events say that there is none, which is quickly seen.
    """
    unfinished = block.count(b'"finish_reason":null')
    unfinished += block.count(b'"finish_reason": null')
    if unfinished == block.count(_FINISH_KEY):
        return False
    return _FINISH.search(block) is not None


def choice_text(choice: Document) -> str:
    """Return the text of one choice of an event."""
    delta = choice.get('delta')
    text = choice.get('text') if delta is None else delta.get('content')
    return text or ''


class StreamRelay:
    """Passes the events of one answer on, over one attempt or more.

    Only whole events pass. The end mark passes only after a finish
    reason; an error event, or events of another answer, end the attempt.

    Args:
        chat: whether the events are those of a chat.
        partial: what an earlier run has produced.
        answer_token_limit: tokens after which the answer is finished.
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
        self._tail = b''
        self._id = b''
        self._finished = False
        self._done = False
        self._rewrite: Callable[[bytes], bytes] | None = None

    @property
    def complete(self) -> bool:
        """Whether the end mark has come after a finish reason."""
        return self._done

    @property
    def partial(self) -> PartialAnswer:
        """What has been received so far."""
        return self.text.partial

    def resume(self) -> None:
        """Begin another attempt that goes on after the partial answer."""
        partial = self.text.partial
        self._tail = b''
        self._id = b''
        self._rewrite = _Rewriter(self.text.frame, partial)

    def closing(self) -> bytes:
        """Return what ends an answer that has all its tokens, or nothing.

        A stream that broke between its last token and the end mark needs
        no other attempt.
        """
        if self._finished and not self._done:
            self._done = True
            return _DONE_EVENT
        partial = self.text.partial
        longest = self._longest_tokens
        if self._done or longest is None or partial.tokens < longest:
            return b''
        self._finished = True
        self._done = True
        closing = event(self._length_event())
        self.text.add(closing)
        return closing + _DONE_EVENT

    def feed(self, piece: bytes) -> bytes:
        """Take a piece of the body and return what may be passed on.

        Raises:
            StreamFaultError: the attempt is no answer, or ended short.
        """
        block = self._whole_events(piece)
        if not block:
            return block
        if _ERROR_KEY in block and _ERROR.search(block):
            raise StreamFaultError('the backend server reported an error')
        self._match(block)
        if self._rewrite is not None:
            block = self._rewrite(block)
        return self._pass(block)

    def _whole_events(self, piece: bytes) -> bytes:
        received = self._tail + piece if self._tail else piece
        if b'\r' in received:
            received = received.replace(b'\r\n', b'\n')
        end = received.rfind(_END)
        if end < 0:
            self._tail = received
            return b''
        end += len(_END)
        self._tail = received[end:]
        return received[:end]

    def _pass(self, block: bytes) -> bytes:
        if not self._finished and _finishes(block):
            self._finished = True
        if _DONE in block:
            block = self._ended(block)
        self.text.add(block)
        return block

    def _ended(self, block: bytes) -> bytes:
        """Take the end mark, which is true only after a finish reason."""
        if not self._finished:
            raise StreamFaultError('the stream ended before its answer did')
        self._done = True
        before, _mark, _rest = block.partition(_DONE)
        return before + _DONE_EVENT

    def _match(self, block: bytes) -> None:
        """Check that every event carries the id of the first."""
        if not self._id:
            found = _ID.search(block)
            if found is None:
                return
            self._id = found.group()
        events = block.count(_END) - block.count(_DONE)
        if block.count(self._id) >= events:
            return
        own = {mark for mark in _ID.findall(block) if mark != self._id}
        if own:
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
    """Gives events of a later attempt the frame of the first."""

    def __init__(
        self, frame: Mapping[str, Any], partial: PartialAnswer
    ) -> None:
        self._frame = dict(frame)
        self._before = partial

    def __call__(self, block: bytes) -> bytes:
        kept = (self._rewritten(document) for document in documents(block))
        done = _DONE_EVENT if _DONE in block else b''
        return b''.join((*(event(one) for one in kept if one), done))

    def _rewritten(self, document: dict[str, Any]) -> dict[str, Any]:
        usage = document.get('usage')
        if usage:
            document['usage'] = self._whole_usage(usage)
        if not usage and not any(map(_says, document.get('choices', ()))):
            return {}
        return document | self._frame

    def _whole_usage(self, usage: Document) -> dict[str, int]:
        tokens = self._before.tokens
        return {
            **usage,
            'prompt_tokens': usage.get('prompt_tokens', tokens) - tokens,
            'completion_tokens': usage.get('completion_tokens', 0) + tokens,
        }


def _says(choice: Document) -> bool:
    return bool(choice_text(choice) or choice.get('finish_reason'))


def whole_answer(text: AnswerText, *, chat: bool) -> dict[str, object]:
    """Return the whole answer that the events of a stream make up."""
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
    """Return the request for the rest of an answer."""
    if not partial.text:
        return dict(request)
    rest = dict(request)
    for key in ('max_tokens', 'max_completion_tokens'):
        if isinstance(request.get(key), int):
            rest[key] = request[key] - partial.tokens
    if not chat:
        rest['prompt'] = request['prompt'] + partial.text
        return rest
    begun = {'role': 'assistant', 'content': partial.text}
    rest['messages'] = [*request['messages'], begun]
    rest['continue_final_message'] = True
    rest['add_generation_prompt'] = False
    return rest
