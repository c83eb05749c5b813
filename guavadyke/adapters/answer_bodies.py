"""Bodies of backend servers' answers that are read as a whole."""

from __future__ import annotations

from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendFault,
    BackendServerError,
)


def read_body(answer: BackendAnswer, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Args:
        answer: the answer, of whose body nothing has been read.
        max_bytes: size beyond which the body is taken for one without end.

    Raises:
        BackendServerError: the body is broken or does not end.
    """
    pieces: list[bytes] = []
    size_bytes = 0
    for piece in answer.chunks():
        pieces.append(piece)
        size_bytes += len(piece)
        if size_bytes > max_bytes:
            answer.cancel()
            raise BackendServerError(
                BackendFault.broken,
                f'the body does not end within {size_bytes} bytes',
                not_run=False,
            )
    return b''.join(pieces)
