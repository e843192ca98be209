"""Reads secrets from files and environment variables."""

import pathlib
from collections.abc import Mapping

from godwitnotch import checked_yaml
from godwitnotch import settings


class SecretReader:
    """Reads the secrets that a settings file refers to.

    Args:
        source: Name of the settings file.
        environment: Environment variables by name.
        problems: List that problems are added to.
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
        """Reads a secret and strips surrounding white space.

        Args:
            key: Key of the secret in the settings file.
            file: Path of the file that holds the secret, if given.
            variable: Environment variable that holds the secret if no file is
                given.

        Returns:
            The secret; None if there was a problem.
        """
        if file is not None:
            return self._read_file(key, file)
        value = self._environment.get(variable or "", "").strip()
        if not value:
            self._add_problem(
                f"{key}.environment",
                f"variable {variable!r}, which is unset or empty",
                "a variable that holds the secret",
                f"set {variable} in the environment of the process",
            )
            return None
        return value.encode()

    def check_length(self, secret: bytes) -> None:
        """Adds a problem if the secret is too short or too long.

        A short secret is easily guessed; a long one would be truncated.
        """
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
            "use 64 random hex digits, the same on all hosts",
        )

    def _read_file(self, key: str, file: str) -> bytes | None:
        try:
            value = pathlib.Path(file).read_bytes().strip()
        except OSError as error:
            value = b""
            found = f"{file}: {error.strerror}"
        else:
            found = f"{file}, which is empty"
        if value:
            return value
        self._add_problem(
            f"{key}.file",
            found,
            "a readable file that holds the secret",
            "write the secret to the file, readable only by the process",
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
