"""Which parts of prompts servers have probably cached.

Load: prompts that begin with parts shared by many requests, which a server
reads only once.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Sequence

# Parts of prompts at servers, the latest ones: about 270 bytes each. A host of
# 390 sends 19 requests a second, so that these are those of some minutes.
_MAX_ENTRIES = 4096


class CachedParts:
    """Parts of prompts that this host has lately sent to servers."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def add(self, incarnation: str, parts: Sequence[tuple[str, int]]) -> None:
        """Record that a server has read the parts of a prompt."""
        for part, _tokens in parts:
            self._entries[incarnation, part] = None
            self._entries.move_to_end((incarnation, part))
        while len(self._entries) > _MAX_ENTRIES:
            self._entries.popitem(last=False)

    def tokens(self, incarnation: str, parts: Sequence[tuple[str, int]]) -> int:
        """Return the tokens of the leading parts that a server has cached."""
        if not parts:
            return 0
        leading = itertools.takewhile(
            lambda part: (incarnation, part[0]) in self._entries, parts
        )
        return sum(tokens for _part, tokens in leading)
