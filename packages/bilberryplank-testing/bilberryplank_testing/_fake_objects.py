"""Fake of the object store."""

from __future__ import annotations


class FakeObjects:
    """Objects by name, in memory."""

    __slots__ = ("objects",)

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    def names(self, prefix: str) -> list[str]:
        """Returns the names that begin with `prefix`, sorted."""
        return sorted(name for name in self.objects if name.startswith(prefix))
