"""Lists of all objects of a kind, page by page."""

from __future__ import annotations

from collections.abc import Iterator

from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore


def list_all(
    store: WriteConfirmingStore,
    kind: str,
    *,
    prefix: str = '',
    bodies: bool = True,
) -> tuple[tuple[StoredObject, ...], int]:
    """Return every object of a kind and the revision of the first page.

    Args:
        store: the platform's object store.
        kind: kind of the objects.
        prefix: start of their names.
        bodies: whether to read the bodies too; else they are empty.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    pages = list(_pages(store, kind, prefix, bodies=bodies))
    objects = tuple(stored for page, _revision in pages for stored in page)
    return objects, pages[0][1]


def _pages(
    store: WriteConfirmingStore,
    kind: str,
    prefix: str,
    *,
    bodies: bool,
) -> Iterator[tuple[tuple[StoredObject, ...], int]]:
    after = ''
    more = True
    while more:
        listing = store.list_objects(
            kind,
            prefix=prefix,
            after=after,
            bodies=bodies,
        )
        yield listing.objects, listing.revision
        more = listing.more
        after = listing.objects[-1].name if listing.objects else ''
