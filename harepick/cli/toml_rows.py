"""Sets and removes rows in the store's TOML configuration; the rest of the text stays as written."""

from __future__ import annotations

from typing import Any

from harepick.cli.common import StoreAccess, author


def with_row(text: str, table: str, wanted: dict[str, Any], drop: tuple[str, ...] = ()) -> str:
    """The configuration with the keys of `wanted` set in the row of that id in `[[table]]`.

    The row is added if it is missing; the keys in `drop` are removed from it.
    """
    import tomlkit

    document = tomlkit.parse(text)
    rows = document.get(table)
    if rows is None:
        rows = tomlkit.aot()
        document.append(table, rows)
    for row in rows:
        if row.get("id") == wanted["id"]:
            break
    else:
        row = tomlkit.table()
        rows.append(row)
    for key in drop:
        row.pop(key, None)
    for key, value in wanted.items():
        row[key] = value
    return tomlkit.dumps(document)


def without_row(text: str, table: str, name: str) -> str | None:
    """The configuration without the rows of that id in `[[table]]`; None if there are none."""
    import tomlkit

    document = tomlkit.parse(text)
    rows = document.get(table, [])
    positions = [n for n, row in enumerate(rows) if row.get("id") == name]
    for position in reversed(positions):
        del rows[position]
    if positions and not rows:
        del document[table]
    return tomlkit.dumps(document) if positions else None


def commit_config(store: StoreAccess, text: str, expect: int, note: str) -> int:
    """Makes `text` the configuration, if `expect` is still the latest revision.

    Returns the number of the new revision, once no instance uses an older one.
    """
    arguments = {"text": text, "expect": expect, "author": author(), "note": note}
    return int(store.request(lambda client: client.call("set", arguments, store.timeout_s))["revision"])
