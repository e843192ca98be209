"""Entry point of `python -m godwitnotch.platform`: a host on the platform."""

import asyncio
import sys

from godwitnotch import leased_root
from godwitnotch.platform import settings


def main() -> int:
    """Runs a host until it exits.

    Returns:
        The exit code: 0 after a drain, 2 if the settings file can't be used.
    """
    try:
        loaded = settings.load(settings.path())
    except settings.PlatformSettingsError as error:
        print(f"event=settings_rejected cause={error}", file=sys.stderr)
        return 2
    asyncio.run(leased_root.run_host(loaded))
    return 0


if __name__ == "__main__":
    sys.exit(main())
