"""Checks that the settings of several hosts are consistent."""

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
        *_find_duplicates(hosts, "host", lambda host: host.host),
        *_find_duplicates(
            hosts, "listen.callers", lambda host: _fixed_address(host.callers)
        ),
        *_find_duplicates(
            hosts, "listen.peers", lambda host: _fixed_address(host.peers)
        ),
        *_find_differences(hosts, "secret", lambda host: host.secret),
        *_find_differences(hosts, "platform", lambda host: host.platform),
    ]


def _fixed_address(address: settings.Address) -> settings.Address | None:
    """Returns the address; None if its port is 0, for any free port."""
    return address if address.port else None


def _find_duplicates(
    hosts: Mapping[str, settings.HostSettings],
    key: str,
    value_of: Callable[[settings.HostSettings], object],
) -> Iterator[checked_yaml.Problem]:
    first_source: dict[object, str] = {}
    for source, host in hosts.items():
        value = value_of(host)
        first = first_source.setdefault(value, source)
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


def _find_differences(
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
