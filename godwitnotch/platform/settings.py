"""Reads the settings file that the platform writes for a process.

The file has lines of the form a.b=value. Unknown fields are ignored, so that
the platform can add fields.
"""

import math
import os
import pathlib
from collections.abc import Mapping

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import locality

PATH_VARIABLE = "GODWITNOTCH_NODE_FILE"
DEFAULT_PATH = "/etc/godwitnotch/settings.conf"
DEFAULT_LINK_MBPS = 1_000.0
SLOWDOWN_FACTOR = "bounds.slowdown_factor"


class PlatformSettingsError(Exception):
    """The settings file can't be used; the message names the remedy."""


class DefaultedSetting(msgspec.Struct, frozen=True):
    """A field that is missing or malformed, and has its default instead.

    Attributes:
        field: Name of the field.
        cause: What is wrong, and the remedy.
        default: The value in force.
    """

    field: str
    cause: str
    default: float


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings that the platform gives a process.

    Addresses have the form IP:PORT.

    Attributes:
        name: Display name of the host in the platform's records. The platform
            calls it node.
        domain: Failure domain of the host. The platform calls it zone.
        callers: Address that serves callers. The platform calls it front.
        ready: Address that serves the platform's readiness checks.
        peers: Address that serves the other hosts; also the id of this host.
            The platform calls it control.
        metrics_port: Port that serves metrics: the first of the port range.
        seeds: Peer addresses of hosts that may be running.
        store: Address of the platform's store.
        relative_cpu_speed: Share of a core that the process gets, times the
            speed of that core as a multiple of a reference core.
        link_mbps: Bandwidth of the machine's network link, in Mbit/s.
        termination_grace_s: Time between SIGTERM and SIGKILL.
        slowdown_factor: Factor by which tasks take longer away from the rack
            that they name; at least 1.
        defaulted: Fields that have their default instead.
    """

    name: str
    domain: ids.DomainId
    callers: str
    ready: str
    peers: ids.HostId
    metrics_port: int
    seeds: tuple[ids.HostId, ...]
    store: str
    relative_cpu_speed: float
    link_mbps: float
    termination_grace_s: float
    slowdown_factor: float = locality.DEFAULT_SLOWDOWN_FACTOR
    defaulted: tuple[DefaultedSetting, ...] = ()


def path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(file: pathlib.Path) -> PlatformSettings:
    """Reads a settings file.

    Raises:
        PlatformSettingsError: The file can't be read, or a field is missing or
            malformed.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(
            f"the settings file can't be read ({error}); set "
            f"{PATH_VARIABLE} to the file that the platform has written"
        ) from error
    return parse(text)


def parse(text: str) -> PlatformSettings:
    """Decodes the text of a settings file.

    Raises:
        PlatformSettingsError: A field is missing or malformed.
    """
    values = dict(_parse_pairs(text))
    factor, defaulted = _parse_slowdown_factor(values)
    try:
        return PlatformSettings(
            name=values["node"],
            domain=ids.DomainId(values["zone"]),
            callers=values["listen.front"],
            ready=values["listen.ready"],
            peers=ids.HostId(values["listen.control"]),
            metrics_port=int(values["port_range"].split(",")[0]),
            seeds=_parse_seeds(values),
            store=values["platform.address"],
            relative_cpu_speed=_parse_cpu_speed(values),
            link_mbps=float(values.get("limits.link_mbps", DEFAULT_LINK_MBPS)),
            termination_grace_s=float(values.get("bounds.grace_s", "6")),
            slowdown_factor=factor,
            defaulted=defaulted,
        )
    except KeyError as error:
        raise PlatformSettingsError(
            f"field {error.args[0]} is missing; declare in deploy/system.toml "
            "that the role serves front and control"
        ) from error
    except ValueError as error:
        raise PlatformSettingsError(
            f"a field is not a number ({error}); correct the settings file"
        ) from error


def _parse_pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals:
            pairs.append((name.strip(), value.strip()))
    return pairs


def _parse_seeds(values: Mapping[str, str]) -> tuple[ids.HostId, ...]:
    seeds = values.get("seeds", "").split(",")
    return tuple(ids.HostId(seed.strip()) for seed in seeds if seed.strip())


def _parse_slowdown_factor(
    values: Mapping[str, str],
) -> tuple[float, tuple[DefaultedSetting, ...]]:
    """Returns the factor, and the record of its default if that is used."""
    text = values.get(SLOWDOWN_FACTOR)
    cause = "the field is missing; declare the factor of this deployment"
    if text is not None:
        try:
            factor = float(text)
        except ValueError:
            factor = math.nan
        if math.isfinite(factor) and factor >= 1:
            return factor, ()
        cause = f"{text} is not a number of 1 or more; correct the field"
    default = locality.DEFAULT_SLOWDOWN_FACTOR
    return default, (DefaultedSetting(SLOWDOWN_FACTOR, cause, default),)


def _parse_cpu_speed(values: Mapping[str, str]) -> float:
    # The share is of one core. Despite its name, `limits.cores` isn't a number
    # of cores, but the speed of that core as a multiple of a reference core.
    share = float(values.get("limits.cpu_share", "1"))
    return share * float(values.get("limits.cores", "1"))
