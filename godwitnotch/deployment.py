"""Checks that the settings of several hosts fit together."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

from godwitnotch import checked_yaml
from godwitnotch import settings


def check(
    hosts: Mapping[str, settings.HostSettings],
) -> list[checked_yaml.Problem]:
    """Returns the problems that prevent hosts from forming a deployment.

    Args:
        hosts: Settings of each host by the name of the settings file.
    """
    return [
        *_repeated(hosts, "host", lambda host: host.host),
        *_repeated(hosts, "listen.callers", lambda host: _fixed(host.callers)),
        *_repeated(hosts, "listen.peers", lambda host: _fixed(host.peers)),
        *_differing(hosts, "secret", lambda host: host.secret),
        *_differing(hosts, "platform", lambda host: host.platform),
    ]


def _fixed(address: settings.Address) -> settings.Address | None:
    """Returns the address; None if its port is chosen at start."""
    return address if address.port else None


def _repeated(
    hosts: Mapping[str, settings.HostSettings],
    key: str,
    value_of: Callable[[settings.HostSettings], object],
) -> Iterator[checked_yaml.Problem]:
    first_with: dict[object, str] = {}
    for source, host in hosts.items():
        value = value_of(host)
        first = first_with.setdefault(value, source)
        if value is None or first == source:
            continue
        yield checked_yaml.Problem(
            source,
            None,
            key,
            f"{str(value)!r}, the same as in {first}",
            "a value that no other host has",
            "change one of the two",
        )


def _differing(
    hosts: Mapping[str, settings.HostSettings],
    key: str,
    value_of: Callable[[settings.HostSettings], object],
) -> Iterator[checked_yaml.Problem]:
    first = next(iter(hosts), "")
    for source, host in hosts.items():
        if value_of(host) != value_of(hosts[first]):
            yield checked_yaml.Problem(
                source,
                None,
                key,
                f"a different value from that in {first}",
                "the same value on all hosts",
                "use the same value in both files",
            )
