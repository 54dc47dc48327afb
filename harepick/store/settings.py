"""Reads and checks `[store]` of the operator's file and sets its defaults; errors name the faulty key."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from harepick.settings import Address, SettingsError, parse_address
from harepick.store.leases import LEASE_S
from harepick.store.raft.messages import Member, Membership

STORE_KEYS = {"cluster", "replica", "listen", "folder", "lease_ms", "member", "first"}
MEMBER_KEYS = {"replica", "address"}
NAME_PATTERN = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")
MAX_MEMBERS = 9


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of one replica of a cluster."""

    cluster: str
    replica: str
    listen: Address
    folder: str
    lease: float  # seconds
    members: Membership  # at the cluster's first start; later the replicated log holds the members

    @property
    def alone(self) -> bool:
        """Whether this replica is the only member: the embedded store of a single instance."""
        return self.members.voters == (self.replica,)


def _name(table: Mapping[str, Any], key: str, path: str, default: str | None = None) -> str:
    value = table.get(key, default)
    if value is None:
        raise SettingsError(f"setting {path} is missing")
    if not isinstance(value, str) or not NAME_PATTERN.match(value):
        raise SettingsError(f"setting {path} is not a name of letters, digits, '.', '_' and '-': {value!r}")
    return value


def peer_address(text: Any, key: str) -> Address:
    """Reads an address of a replica; raises `SettingsError`.

    Only loopback addresses are allowed, because the traffic between replicas is not encrypted.
    """
    address = parse_address(text, key)
    if not ipaddress.ip_address(address.host).is_loopback:
        raise SettingsError(
            f"setting {key} is not on loopback: {text!r}; the traffic between replicas is not encrypted"
        )
    return address


def read_store(table: Mapping[str, Any]) -> StoreSettings | None:
    """Reads `[store]` of an operator's file; None if it has none. Raises `SettingsError`."""
    store = table.get("store")
    if store is None:
        return None
    if not isinstance(store, Mapping):
        raise SettingsError(f"setting store is not a table: {store!r}")
    for key in sorted(store.keys() - STORE_KEYS):
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
    """Reads the members of the first start; without any, this replica is the only one."""
    if not isinstance(rows, list):
        raise SettingsError(f"setting store.member is not an array of tables: {rows!r}")
    if not rows:
        return Membership((Member(replica, str(listen)),))
    if len(rows) > MAX_MEMBERS:
        raise SettingsError(f"setting store.member has over {MAX_MEMBERS} rows")
    members = Membership()
    for position, row in enumerate(rows):
        path = f"store.member[{position}]"
        if not isinstance(row, Mapping):
            raise SettingsError(f"setting {path} is not a table: {row!r}")
        for key in sorted(row.keys() - MEMBER_KEYS):
            raise SettingsError(f"setting {path}.{key} is not known")
        name = _name(row, "replica", f"{path}.replica")
        if members.get(name):
            raise SettingsError(f"setting {path}.replica is used twice: {name!r}")
        address = peer_address(row.get("address"), f"{path}.address")
        members = members.with_member(Member(name, str(address)))
    return members
