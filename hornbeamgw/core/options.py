"""Options: the settings of a daemon, checked whole at start."""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hornbeamgw.core import balancing, slots, spreading
from hornbeamgw.core import crossing as _crossing  # noqa: F401  (registers itself)
from hornbeamgw.core import placement as _placement  # noqa: F401  (registers itself)
from hornbeamgw.core import queueing as _queueing  # noqa: F401  (registers itself)
from hornbeamgw.core.problems import Duration, Problem, Size, check_mapping, read_yaml

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Figure = Annotated[float, msgspec.Meta(ge=0)]
Address = Annotated[str, msgspec.Meta(pattern=r"^\S+:[0-9]{1,5}$")]

ENVIRONMENT_KEYS = {
    "HORNBEAMGW_ADDRESS": "address",
    "HORNBEAMGW_CALLERS": "callers",
    "HORNBEAMGW_ADMIN": "admin",
    "HORNBEAMGW_DATA_CENTRE": "data_centre",
    "HORNBEAMGW_REGION": "region",
}


class PlatformFile(TypedDict):
    """Hold how the platform is reached."""

    address: Address
    adapter: NotRequired[Text]
    timeout: NotRequired[Duration]
    poll: NotRequired[Duration]


class MembershipFile(TypedDict):
    """Hold the intervals of the failure detector."""

    probe_interval: NotRequired[Duration]
    ack_timeout: NotRequired[Duration]
    suspicion: NotRequired[Duration]


class ServerFile(TypedDict):
    """Hold what is known of the backend server beside the daemon before it announces itself."""

    service: NotRequired[Text]
    connections: NotRequired[Count]
    announce_ttl: NotRequired[Duration]


class BudgetFile(TypedDict):
    """Hold how often the whole fleet may send requests of a service once more."""

    ratio: NotRequired[Figure]
    slack: NotRequired[Figure]
    window: NotRequired[Duration]


class RolloutsFile(TypedDict):
    """Hold what a version on trial may get: a share of its service's requests and some more."""

    share: NotRequired[Figure]
    slack: NotRequired[Figure]


class PluginsFile(TypedDict):
    """Hold which plug-ins register themselves, and the folder that they lie in."""

    modules: list[Text]
    folder: NotRequired[Text]


class CallsFile(TypedDict):
    """Hold how calls are carried."""

    balancing: NotRequired[Text]
    dialect: NotRequired[Text]
    queueing: NotRequired[Text]
    replay_limit: NotRequired[Size]
    header_timeout: NotRequired[Duration]
    idle_timeout: NotRequired[Duration]
    drain_limit: NotRequired[Duration]
    leave_after: NotRequired[Duration]
    grace: NotRequired[Duration]  # whoever sends SIGTERM ends the process after so long


class SettingsFile(TypedDict):
    """Hold a settings file as an operator writes it."""

    fleet: Text
    data_centre: Text
    region: Text
    address: Address
    callers: Address
    admin: Address
    ready: NotRequired[Address]
    announcements: NotRequired[Address]
    metrics: NotRequired[Address]
    seeds: NotRequired[list[Address]]
    directory: NotRequired[bool]
    first_start: NotRequired[bool]  # the whole fleet is new, and nothing was kept of it before
    bandwidth: NotRequired[Figure]  # Mbit/s, 0 if unknown
    source: NotRequired[Text]
    plugins: NotRequired[PluginsFile]
    server: NotRequired[ServerFile]
    budget: NotRequired[BudgetFile]
    rollouts: NotRequired[RolloutsFile]
    platform: PlatformFile
    membership: NotRequired[MembershipFile]
    calls: NotRequired[CallsFile]
    spreading: NotRequired[Text]
    statsd: NotRequired[Address]
    log_level: NotRequired[Text]


class Settings(NamedTuple):
    """Hold effective settings; durations in seconds, sizes in bytes, bandwidth in Mbit/s."""

    fleet: str
    data_centre: str
    region: str
    address: str
    callers: str
    admin: str
    platform_address: str
    ready: str = ""
    announcements: str = ""
    metrics: str = ""
    seeds: tuple[str, ...] = ()
    directory: bool = False
    first_start: bool = False
    bandwidth: float = 0.0
    source: str = "commits"
    plugins_modules: tuple[str, ...] = ()
    plugins_folder: str = ""
    server_service: str = ""
    server_connections: int = 100
    server_announce_ttl: float = 6.0
    budget_ratio: float = 0.2
    budget_slack: float = 50.0
    budget_window: float = 10.0
    rollouts_share: float = 0.1
    rollouts_slack: float = 50.0
    platform_adapter: str = "http"
    platform_timeout: float = 1.0
    platform_poll: float = 2.0
    membership_probe_interval: float = 1.0
    membership_ack_timeout: float = 0.3
    membership_suspicion: float = 4.0
    calls_balancing: str = "two_choice"
    calls_dialect: str = "hornbeamgw"
    calls_queueing: str = "deadline"
    calls_replay_limit: float = 65_536.0
    calls_header_timeout: float = 5.0
    calls_idle_timeout: float = 60.0
    calls_drain_limit: float = 30.0
    calls_leave_after: float = 0.0
    calls_grace: float = 0.0
    spreading: str = "tree"
    statsd: str = ""
    log_level: str = "INFO"


class Loaded(NamedTuple):
    """Hold settings with the source of each value."""

    settings: Settings
    sources_by_key: Mapping[str, str]


LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(address: str) -> bool:
    """Return whether a text is an IP number and a port."""
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 <= port <= 65_535


def _override(document: Mapping[str, Any], environment: Mapping[str, str]) -> dict[str, Any]:
    found = {
        key: environment[name] for name, key in ENVIRONMENT_KEYS.items() if name in environment
    }
    return {**document, **found}


def _source_of(key: str, source: str, environment: Mapping[str, str]) -> str:
    for name, overridden in ENVIRONMENT_KEYS.items():
        if key == overridden and name in environment:
            return f"environment {name}"
    return source


def _flatten(values: Mapping[str, Any]) -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in values.items():
        if isinstance(value, dict):
            flat.update({f"{key}_{name}": inner for name, inner in value.items()})
        else:
            flat[key] = tuple(value) if isinstance(value, list) else value
    return flat


def _check_addresses(flat: Mapping[str, Any], source: str) -> list[Problem]:
    named = [(key, flat.get(key)) for key in ("address", "callers", "admin", "statsd")]
    named += [(key, flat.get(key)) for key in ("ready", "announcements", "metrics")]
    named.append(("platform.address", flat.get("platform_address")))
    named += [(f"seeds[{i}]", seed) for i, seed in enumerate(flat.get("seeds", ()))]
    expected = "an IP number and a port, such as 10.0.0.7:7400"
    return [
        Problem(source, key, value, expected)
        for key, value in named
        if value and not is_address(value)
    ]


def _check_names(flat: Mapping[str, Any], source: str) -> list[Problem]:
    problems = []
    policy = flat.get("calls_balancing", "two_choice")
    known = {*balancing.policies_by_name, *balancing.choosers_by_name}
    if policy not in known:
        expected = f"one of {sorted(known)}"
        problems.append(Problem(source, "calls.balancing", policy, expected))
    waiting = flat.get("calls_queueing", "deadline")
    if waiting not in slots.policies_by_name:
        expected = f"one of {sorted(slots.policies_by_name)}"
        problems.append(Problem(source, "calls.queueing", waiting, expected))
    spread = flat.get("spreading", "tree")
    if spread not in spreading.policies_by_name:
        expected = f"one of {sorted(spreading.policies_by_name)}"
        problems.append(Problem(source, "spreading", spread, expected))
    level = flat.get("log_level", "INFO")
    if level not in LOG_LEVELS:
        problems.append(Problem(source, "log_level", level, f"one of {list(LOG_LEVELS)}"))
    return problems


def parse_settings(
    text: str, source: str, environment: Mapping[str, str] | None = None
) -> tuple[Loaded | None, list[Problem]]:
    """Return effective settings, or every problem of the file and the environment."""
    environment = os.environ if environment is None else environment
    document, problems = read_yaml(text, source)
    if problems:
        return None, problems
    if isinstance(document, Mapping):
        document = _override(document, environment)
    values, problems = check_mapping(document, SettingsFile, source)
    if problems:
        return None, problems
    flat = _flatten(values)
    problems = _check_addresses(flat, source) + _check_names(flat, source)
    if problems:
        return None, problems
    settings = Settings(**flat)
    sources = {
        key: _source_of(key, source, environment) if key in flat else "default"
        for key in Settings._fields
    }
    return Loaded(settings, sources), []
