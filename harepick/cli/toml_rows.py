"""Rows of the store's configuration that a command sets or takes out; the rest stays as it is written."""

from __future__ import annotations

from typing import Any

from harepick.cli.common import Store, author


def changed(text: str, table: str, wanted: dict[str, Any], drop: tuple[str, ...] = ()) -> str:
    """The configuration with the row of that id in `[[table]]` set anew, or added; keys of `drop` go."""
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


def without(text: str, table: str, name: str) -> str | None:
    """The configuration without the row of that id; None if it has none."""
    import tomlkit

    document = tomlkit.parse(text)
    rows = document.get(table, [])
    places = [n for n, row in enumerate(rows) if row.get("id") == name]
    for place in reversed(places):
        del rows[place]
    if places and not rows:
        del document[table]
    return tomlkit.dumps(document) if places else None


def put(store: Store, text: str, expect: int, note: str) -> int:
    """The new revision's number, once no instance acts on an older one."""
    arguments = {"text": text, "expect": expect, "author": author(), "note": note}
    return int(store.ask(lambda client: client.call("set", arguments, store.within))["revision"])
