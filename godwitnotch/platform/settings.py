"""The settings file that the platform writes for a process.

Lines of the form a.b=value. Unknown fields are left out, so that new ones may
come.
"""

import os
import pathlib
from collections.abc import Mapping
from dataclasses import dataclass

from godwitnotch.core import ids

PATH_VARIABLE = "GODWITNOTCH_NODE_FILE"
DEFAULT_PATH = "/etc/godwitnotch/settings.conf"


class PlatformSettingsError(Exception):
    """A settings file that can't be used; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the platform tells a process.

    Attributes:
        name: The host's name in the platform's records, for people.
        domain: Its failure domain; the platform says zone.
        callers: Address for callers.
        ready: Address for the platform's readiness checks.
        peers: Address for other hosts; also this host's id. The platform says
            control.
        metrics_port: A free port for metrics.
        seeds: Peer addresses of hosts that may be up.
        store: Address of the platform's store.
        cores: Share of a core, times its speed.
        termination_grace_s: Time between SIGTERM and SIGKILL.
    """

    name: str
    domain: ids.DomainId
    callers: str
    ready: str
    peers: ids.HostId
    metrics_port: int
    seeds: tuple[ids.HostId, ...]
    store: str
    cores: float
    termination_grace_s: float


def path() -> pathlib.Path:
    """Returns where the platform has put the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(file: pathlib.Path) -> PlatformSettings:
    """Reads a settings file.

    Raises:
        PlatformSettingsError: The file is missing, or a field of it.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(
            f"settings can't be read ({error}); set {PATH_VARIABLE} to the "
            "file that the platform has written"
        ) from error
    return parse(text)


def parse(text: str) -> PlatformSettings:
    """Decodes the text of a settings file.

    Raises:
        PlatformSettingsError: A field is missing or has a wrong form.
    """
    values = dict(_parse_pairs(text))
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
            cores=_parse_cores(values),
            termination_grace_s=float(values.get("bounds.grace_s", "6")),
        )
    except KeyError as error:
        raise PlatformSettingsError(
            f"field {error.args[0]} is missing; let the role serve front and "
            "control in deploy/system.toml"
        ) from error
    except ValueError as error:
        raise PlatformSettingsError(
            f"a field is no number ({error}); correct the settings file"
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


def _parse_cores(values: Mapping[str, str]) -> float:
    # cpu_share is of one core, which runs at the speed of `cores` cores.
    share = float(values.get("limits.cpu_share", "1"))
    return share * float(values.get("limits.cores", "1"))
