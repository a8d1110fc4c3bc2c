"""Daemon settings: file format, environment overrides and validation."""

from __future__ import annotations

import os
import re
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hornbeamgw.core import balancing, slots, spreading
from hornbeamgw.core import crossing as _crossing  # noqa: F401  (registers its policies)
from hornbeamgw.core import placement as _placement  # noqa: F401  (registers its policies)
from hornbeamgw.core import queueing as _queueing  # noqa: F401  (registers its policies)
from hornbeamgw.core.problems import Duration, Problem, Size, check_mapping, read_yaml

ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
Address = Annotated[str, msgspec.Meta(pattern=r"^\S+:[0-9]{1,5}$")]

ENVIRONMENT_KEYS = {
    "HORNBEAMGW_ADDRESS": "address",
    "HORNBEAMGW_CALLERS": "callers",
    "HORNBEAMGW_ADMIN": "admin",
    "HORNBEAMGW_DATA_CENTRE": "data_centre",
    "HORNBEAMGW_REGION": "region",
}


UVLOOP = "uvloop"
ASYNCIO = "asyncio"
EVENT_LOOPS = (UVLOOP, ASYNCIO)


class PlatformSection(TypedDict):
    """Connection to the platform API."""

    address: Address
    adapter: NotRequired[ShortText]
    timeout: NotRequired[Duration]
    poll: NotRequired[Duration]


class MembershipSection(TypedDict):
    """Intervals and timeouts of the failure detector."""

    probe_interval: NotRequired[Duration]
    ack_timeout: NotRequired[Duration]
    suspicion: NotRequired[Duration]


class ServerSection(TypedDict):
    """Values assumed for the backend server on the daemon's VM until it announces itself."""

    service: NotRequired[ShortText]
    connections: NotRequired[Count]
    announce_ttl: NotRequired[Duration]


class BudgetSection(TypedDict):
    """Retry budget of a service: a ratio of its requests, plus a constant, per window."""

    ratio: NotRequired[NonNegativeFloat]
    slack: NotRequired[NonNegativeFloat]
    window: NotRequired[Duration]


class RolloutsSection(TypedDict):
    """Traffic limit of a software version in a rollout: a share of requests, plus a constant."""

    share: NotRequired[NonNegativeFloat]
    slack: NotRequired[NonNegativeFloat]


class QuotaSection(TypedDict):
    """Overshoot of quotas per window: a ratio of the permitted requests, plus a constant."""

    window: NotRequired[Duration]
    overage: NotRequired[NonNegativeFloat]
    slack: NotRequired[NonNegativeFloat]


class PluginsSection(TypedDict):
    """Plug-in modules to import, and the folder that contains them."""

    modules: list[ShortText]
    folder: NotRequired[ShortText]


class CallsSection(TypedDict):
    """Policies, limits and timeouts of calls, and the timing of a shutdown."""

    balancing: NotRequired[ShortText]
    dialect: NotRequired[ShortText]
    queueing: NotRequired[ShortText]
    replay_limit: NotRequired[Size]
    header_timeout: NotRequired[Duration]
    idle_timeout: NotRequired[Duration]
    drain_limit: NotRequired[Duration]
    leave_after: NotRequired[Duration]
    grace: NotRequired[Duration]  # time from SIGTERM until the supervisor kills the process


class SettingsFile(TypedDict):
    """Top-level structure of a settings file (YAML)."""

    fleet: ShortText
    data_centre: ShortText
    region: ShortText
    address: Address
    callers: Address
    admin: Address
    ready: NotRequired[Address]
    announcements: NotRequired[Address]
    metrics: NotRequired[Address]
    seeds: NotRequired[list[Address]]  # daemons through which this one joins the fleet
    directory: NotRequired[bool]  # whether daemons find each other through the platform's store
    first_start: NotRequired[bool]  # whether the whole fleet has just been created
    bandwidth: NotRequired[NonNegativeFloat]  # Mbit/s, 0 if unknown
    source: NotRequired[ShortText]  # name of the adapter that provides catalogue versions
    plugins: NotRequired[PluginsSection]
    server: NotRequired[ServerSection]
    budget: NotRequired[BudgetSection]
    rollouts: NotRequired[RolloutsSection]
    quota: NotRequired[QuotaSection]
    platform: PlatformSection
    membership: NotRequired[MembershipSection]
    calls: NotRequired[CallsSection]
    spreading: NotRequired[ShortText]
    statsd: NotRequired[Address]
    event_loop: NotRequired[ShortText]
    log_level: NotRequired[ShortText]


class Settings(NamedTuple):
    """Effective settings: durations in seconds, sizes in bytes, bandwidth in Mbit/s."""

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
    quota_window: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
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
    event_loop: str = UVLOOP
    log_level: str = "INFO"


class LoadedSettings(NamedTuple):
    """Effective settings, and the source of each value (file, environment or default)."""

    settings: Settings
    sources_by_key: Mapping[str, str]


_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4_PATTERN = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an `ip:port` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _check_host(host: str) -> None:
    """Raise ValueError if a text is no IP address."""
    if not _IPV4_PATTERN.fullmatch(host):
        # Imported only for what is not plainly an IPv4 address, to save memory.
        import ipaddress

        ipaddress.ip_address(host)


def is_address(address: str) -> bool:
    """Return whether a text is an `ip:port` address."""
    try:
        host, port = split_address(address)
        _check_host(host)
    except ValueError:
        return False
    return 0 <= port <= 65_535


def _apply_environment(
    document: Mapping[str, Any], environment: Mapping[str, str]
) -> dict[str, Any]:
    overrides = {
        key: environment[name] for name, key in ENVIRONMENT_KEYS.items() if name in environment
    }
    return {**document, **overrides}


def _source_of(key: str, source: str, environment: Mapping[str, str]) -> str:
    for name, overridden_key in ENVIRONMENT_KEYS.items():
        if key == overridden_key and name in environment:
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
    addresses = [(key, flat.get(key)) for key in ("address", "callers", "admin", "statsd")]
    addresses += [(key, flat.get(key)) for key in ("ready", "announcements", "metrics")]
    addresses.append(("platform.address", flat.get("platform_address")))
    addresses += [(f"seeds[{index}]", seed) for index, seed in enumerate(flat.get("seeds", ()))]
    expected = "an IP address and a port, such as 10.0.0.7:7400"
    return [
        Problem(source, key, value, expected)
        for key, value in addresses
        if value and not is_address(value)
    ]


def _check_choices(flat: Mapping[str, Any], source: str) -> list[Problem]:
    problems = []
    balancing_policy = flat.get("calls_balancing", "two_choice")
    balancing_policies = {*balancing.policies_by_name, *balancing.choosers_by_name}
    if balancing_policy not in balancing_policies:
        expected = f"one of {sorted(balancing_policies)}"
        problems.append(Problem(source, "calls.balancing", balancing_policy, expected))
    queueing_policy = flat.get("calls_queueing", "deadline")
    if queueing_policy not in slots.policies_by_name:
        expected = f"one of {sorted(slots.policies_by_name)}"
        problems.append(Problem(source, "calls.queueing", queueing_policy, expected))
    spreading_policy = flat.get("spreading", "tree")
    if spreading_policy not in spreading.policies_by_name:
        expected = f"one of {sorted(spreading.policies_by_name)}"
        problems.append(Problem(source, "spreading", spreading_policy, expected))
    event_loop = flat.get("event_loop", UVLOOP)
    if event_loop not in EVENT_LOOPS:
        problems.append(Problem(source, "event_loop", event_loop, f"one of {list(EVENT_LOOPS)}"))
    level = flat.get("log_level", "INFO")
    if level not in LOG_LEVELS:
        problems.append(Problem(source, "log_level", level, f"one of {list(LOG_LEVELS)}"))
    return problems


def parse_settings(
    text: str, source: str, environment: Mapping[str, str] | None = None
) -> tuple[LoadedSettings | None, list[Problem]]:
    """Return the effective settings, or all problems of the file and the environment."""
    environment = os.environ if environment is None else environment
    document, problems = read_yaml(text, source)
    if problems:
        return None, problems
    if isinstance(document, Mapping):
        document = _apply_environment(document, environment)
    values, problems = check_mapping(document, SettingsFile, source)
    if problems:
        return None, problems
    flat = _flatten(values)
    problems = _check_addresses(flat, source) + _check_choices(flat, source)
    if problems:
        return None, problems
    settings = Settings(**flat)
    sources = {
        key: _source_of(key, source, environment) if key in flat else "default"
        for key in Settings._fields
    }
    return LoadedSettings(settings, sources), []
