"""Reads secrets from files and environment variables."""

import pathlib
from collections.abc import Mapping

from godwitnotch import checked_yaml
from godwitnotch import settings


class SecretReader:
    """Reads the secrets that a settings file names, and collects problems.

    Args:
        source: Name of the settings file.
        environment: Environment variables by name.
        problems: Where problems are added.
    """

    def __init__(
        self,
        source: str,
        environment: Mapping[str, str],
        problems: list[checked_yaml.Problem],
    ) -> None:
        self._source = source
        self._environment = environment
        self._problems = problems

    def read(
        self, key: str, file: str | None, variable: str | None
    ) -> bytes | None:
        """Returns the secret, without white space around it."""
        if file is not None:
            return self._read_file(key, file)
        value = self._environment.get(variable or "", "").strip()
        if not value:
            self._add_problem(
                f"{key}.environment",
                f"variable {variable!r} unset or empty",
                "a variable that holds the secret",
                f"set {variable} in the environment of the process",
            )
            return None
        return value.encode()

    def check_length(self, secret: bytes) -> None:
        """Refuses secrets that are easily guessed or cut short."""
        if (
            settings.MIN_SECRET_BYTES
            <= len(secret)
            <= settings.MAX_SECRET_BYTES
        ):
            return
        self._add_problem(
            "secret",
            f"a secret of {len(secret)} bytes (not shown)",
            f"{settings.MIN_SECRET_BYTES} to {settings.MAX_SECRET_BYTES} bytes",
            "make one of 64 random hex digits, the same on all hosts",
        )

    def _read_file(self, key: str, file: str) -> bytes | None:
        try:
            value = pathlib.Path(file).read_bytes().strip()
        except OSError as error:
            value = b""
            found = f"{file}: {error.strerror}"
        else:
            found = f"{file}: empty"
        if value:
            return value
        self._add_problem(
            f"{key}.file",
            found,
            "a readable file that holds the secret",
            "write the secret there, readable by the process alone",
        )
        return None

    def _add_problem(
        self, key: str, found: str, allowed: str, remedy: str
    ) -> None:
        self._problems.append(
            checked_yaml.Problem(
                self._source, None, key, found, allowed, remedy
            )
        )
