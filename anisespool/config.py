"""Configuration from environment variables and a JSON file, parsed into immutable types."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from anisespool.clock import CLOCK
from anisespool.errors import ConfigError, ConfigUnreadable
from anisespool.member_list import Address as Address
from anisespool.member_list import Member as Member
from anisespool.member_list import MemberList as MemberList
from anisespool.member_list import NameIndex as NameIndex
from shuntlead import Settings, SettingsError

MEGABYTE = 1_000_000  # the smaller reading of the unit of `memory_mb`


class PeerAddresses(NamedTuple):
    """UDP addresses for messages between sidecars; `peers` is indexed by the sidecar numbers of the settings.
    `all` reaches every sidecar at once."""

    listen: Address
    peers: tuple[Address, ...]
    all: Address | None


@dataclass(frozen=True)
class Config:
    """The configuration of one sidecar process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_bytes: int
    keepalive_ns: int
    settings: Settings
    names: NameIndex
    known: MemberList
    peers: PeerAddresses | None  # None: disabled by the settings, or no address given
    admin: Address | None = None  # None: no admin address
    inherited_fd: int | None = None  # listening socket for clients, if the platform owns it
    shared_dir: Path | None = None  # directory shared by the two processes of an upgrade
    state_dir: Path | None = None  # of the state store; None: no state is kept
    known_members: tuple[dict[str, Any], ...] = ()  # the entries of `known`, as in discovery's JSON


def load(env: Mapping[str, str]) -> Config:
    """Parse the complete configuration. Raises ConfigError, which names the missing or invalid item."""
    raw = _read_file(env)
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError("LB_CONFIG: key settings: must be an object")
    try:
        settings = Settings.from_dict(raw["settings"])
    except (SettingsError, ValueError, OverflowError) as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    names = _names(raw["settings"])
    return Config(
        name=_variable(env, "LB_NAME"),
        listen=_address(env, "LB_LISTEN"),
        discovery=_address(env, "LB_DISCOVERY"),
        seed=_seed(raw.get("seed")),
        sockets=_number(raw, "limits", "sockets", 1024),
        memory_bytes=_number(raw, "limits", "memory_mb", 64) * MEGABYTE,
        keepalive_ns=_number(raw["settings"], "allowed", "keepalive-ns", 15_000_000_000),
        settings=settings,
        names=names,
        known=_known(names, raw.get("known")),
        peers=_peers(raw) if settings.may_message else None,
        admin=_admin(env, raw),
        inherited_fd=_inherited_fd(env),
        shared_dir=Path(env["TMPDIR"]) if env.get("TMPDIR") else None,
        state_dir=_state_dir(env, raw),
        known_members=tuple((raw.get("known") or {}).get("members", ())),
    )


def reload_discovery(env: Mapping[str, str], default: Address | None = None) -> Address:
    """Discovery's address from the configuration file, which may have changed since the start; the
    environment variable cannot have. `default`: returned if the file has no such key. Raises ConfigError if
    the file cannot be read or its address is invalid."""
    raw = _read_file(env)
    if default and "discovery" not in raw:
        return default
    try:
        return Address.parse(raw.get("discovery"))
    except ConfigError:
        raise
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: key discovery: {error}") from None


def _read_file(env: Mapping[str, str]) -> dict[str, Any]:
    path = _variable(env, "LB_CONFIG")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigUnreadable(f"LB_CONFIG: {error}") from None
    return raw if isinstance(raw, dict) else {}


def _variable(env: Mapping[str, str], name: str) -> str:
    if not env.get(name):
        raise ConfigError(f"{name}: not set")
    return env[name]


def _address(env: Mapping[str, str], name: str) -> Address:
    try:
        return Address.parse(_variable(env, name))
    except ConfigError:
        raise
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from None


def _seed(raw: Any) -> int:
    try:
        return int(raw, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"LB_CONFIG: key seed: {raw!r} is not a hexadecimal number") from None


def _number(raw: dict[str, Any], parent: str, key: str, default: int) -> int:
    value = (raw.get(parent) or {}).get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
        raise ConfigError(f"LB_CONFIG: key {parent}.{key}: {value!r} is not a number of at least 1")
    return int(value)


def _names(raw: dict[str, Any]) -> NameIndex:
    def indexes(key: str, named: bool) -> dict[str, int]:
        try:
            rows = raw.get(key) or []
            return {row["name"] if named else str(row): n for n, row in enumerate(rows)}
        except (KeyError, TypeError):
            raise ConfigError(f"LB_CONFIG: key settings.{key}: each entry needs a name") from None

    classes, tenants = indexes("request-classes", True), indexes("tenants", True)
    return NameIndex(classes, tenants, indexes("zones", False), indexes("skus", False), CLOCK.epoch_ns)


def _known(names: NameIndex, raw: Any) -> MemberList:
    if raw is None:
        return MemberList(0, True, ())
    try:
        return names.member_list(raw)
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: key known: {error}") from None


def _admin(env: Mapping[str, str], raw: dict[str, Any]) -> Address | None:
    if env.get("LB_ADMIN_ADDR"):
        return _address(env, "LB_ADMIN_ADDR")
    if not raw.get("admin_addr"):
        return None
    try:
        return Address.parse(raw["admin_addr"])
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: key admin_addr: {error}") from None


def _state_dir(env: Mapping[str, str], raw: dict[str, Any]) -> Path | None:
    """The first that is set of `LB_STATE_DIR`, key `state_dir` and `TMPDIR`, which an upgrade's processes
    share."""
    key = raw.get("state_dir")
    if key is not None and not (isinstance(key, str) and key):
        raise ConfigError(f"LB_CONFIG: key state_dir: {key!r} is not a directory path")
    text = env.get("LB_STATE_DIR") or key or env.get("TMPDIR")
    return Path(text) if text else None


def _inherited_fd(env: Mapping[str, str]) -> int | None:
    text = env.get("LB_INHERITED_FD", "")
    if not text:
        return None
    if not (text.isascii() and text.isdecimal()):
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not a file descriptor number")
    return int(text)


def _peers(raw: dict[str, Any]) -> PeerAddresses | None:
    if not raw.get("peer_listen") or not raw.get("peers"):
        return None
    try:
        peers = tuple(Address.parse(text) for text in raw["peers"])
        everyone = Address.parse(raw["peers_all"]) if raw.get("peers_all") else None
        return PeerAddresses(Address.parse(raw["peer_listen"]), peers, everyone)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"LB_CONFIG: keys peer_listen, peers, peers_all: {error}") from None
