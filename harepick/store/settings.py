"""`[store]` of the operator's file: read, checked and given defaults here; errors name the faulty key."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from harepick.settings import Address, SettingsError, parse_address
from harepick.store.leases import LEASE_S
from harepick.store.raft.messages import Member, Membership

KEYS = {"cluster", "replica", "listen", "folder", "lease_ms", "member", "first"}
MEMBER_KEYS = {"replica", "address"}
NAME = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")
MAX_MEMBERS = 9


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """One replica of a cluster."""

    cluster: str
    replica: str
    listen: Address
    folder: str
    lease: float  # seconds
    members: Membership  # of the cluster's first start; later the store itself knows its members

    @property
    def alone(self) -> bool:
        """The embedded store of a single instance."""
        return self.members.voters == (self.replica,)


def _name(table: Mapping[str, Any], key: str, path: str, default: str | None = None) -> str:
    value = table.get(key, default)
    if value is None:
        raise SettingsError(f"setting {path} is missing")
    if not isinstance(value, str) or not NAME.match(value):
        raise SettingsError(f"setting {path} is no name of letters, digits, '.', '_' and '-': {value!r}")
    return value


def peer_address(text: Any, key: str) -> Address:
    """On loopback only, as long as what replicas say to each other is not encrypted."""
    where = parse_address(text, key)
    if not ipaddress.ip_address(where.host).is_loopback:
        raise SettingsError(
            f"setting {key} is not on loopback: {text!r}; replicas speak in the clear until they have TLS"
        )
    return where


def read_store(table: Mapping[str, Any]) -> StoreSettings | None:
    """The `[store]` of an operator's file, None if it has none; raises `SettingsError`."""
    store = table.get("store")
    if store is None:
        return None
    if not isinstance(store, Mapping):
        raise SettingsError(f"setting store makes no sense: {store!r}")
    for key in sorted(store.keys() - KEYS):
        raise SettingsError(f"setting store.{key} is not known")
    replica = _name(store, "replica", "store.replica", "a")
    listen = peer_address(store.get("listen", "127.0.0.1:7353"), "store.listen")
    folder = store.get("folder")
    if not isinstance(folder, str) or not folder:
        raise SettingsError("setting store.folder is missing")
    lease = store.get("lease_ms", LEASE_S * 1000)
    if isinstance(lease, bool) or not isinstance(lease, int | float) or not 500 <= lease <= 60_000:
        raise SettingsError(f"setting store.lease_ms is not between 500 and 60000: {lease!r}")
    return StoreSettings(
        cluster=_name(store, "cluster", "store.cluster", "harepick"),
        replica=replica,
        listen=listen,
        folder=folder,
        lease=lease / 1000.0,
        members=_members(store.get("member", []), replica, listen),
    )


def _members(rows: Any, replica: str, listen: Address) -> Membership:
    """The members of the first start; without any, this one alone."""
    if not isinstance(rows, list):
        raise SettingsError(f"setting store.member makes no sense: {rows!r}")
    if not rows:
        return Membership((Member(replica, str(listen)),))
    if len(rows) > MAX_MEMBERS:
        raise SettingsError(f"setting store.member has over {MAX_MEMBERS} rows")
    members = Membership()
    for n, row in enumerate(rows):
        path = f"store.member[{n}]"
        if not isinstance(row, Mapping):
            raise SettingsError(f"setting {path} makes no sense: {row!r}")
        for key in sorted(row.keys() - MEMBER_KEYS):
            raise SettingsError(f"setting {path}.{key} is not known")
        name = _name(row, "replica", f"{path}.replica")
        if members.get(name):
            raise SettingsError(f"setting {path}.replica is there twice: {name!r}")
        where = peer_address(row.get("address"), f"{path}.address")
        members = members.with_member(Member(name, str(where)))
    return members
