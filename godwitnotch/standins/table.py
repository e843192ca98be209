"""Transactional table in memory, for the stand-in of the store."""

from collections.abc import Iterable

from godwitnotch.core import model


class Table:
    """Rows with versions: a new row has version 1, and each write adds 1."""

    def __init__(self) -> None:
        self._rows: dict[str, model.Row] = {}

    def transact(
        self, writes: Iterable[model.RowWrite]
    ) -> tuple[model.Row, ...]:
        """Applies either all writes or none.

        Returns:
            The rows whose version differs from the expected version, in the
            order of the writes; empty if the writes were applied.

        Raises:
            ValueError: Two writes name the same key.
        """
        writes = tuple(writes)
        if len({write.key for write in writes}) != len(writes):
            raise ValueError(
                "two writes of a transaction name the same key; merge them"
            )
        conflicting_rows = tuple(
            self._row(write.key)
            for write in writes
            if write.expected_version is not None
            and write.expected_version != self._row(write.key).version
        )
        if not conflicting_rows:
            for write in writes:
                self._apply(write)
        return conflicting_rows

    def read(self, keys: Iterable[str]) -> tuple[model.Row, ...]:
        """Returns the rows in the order of the keys; version 0 means absent."""
        return tuple(self._row(key) for key in keys)

    def scan(self, prefix: str) -> tuple[model.Row, ...]:
        """Returns the rows whose key has the prefix, ordered by key."""
        return tuple(
            self._rows[key]
            for key in sorted(self._rows)
            if key.startswith(prefix)
        )

    def _row(self, key: str) -> model.Row:
        return self._rows.get(key) or model.Row(key, 0, b"")

    def _apply(self, write: model.RowWrite) -> None:
        if write.value is None:
            self._rows.pop(write.key, None)
            return
        version = self._row(write.key).version + 1
        self._rows[write.key] = model.Row(write.key, version, write.value)
