"""Serves the stand-in store in a process of its own."""

import asyncio
import sys

from godwitnotch.standins import leased_platform


async def _main(ip: str, port: int, service: str) -> None:
    store = leased_platform.StandInStore()
    store.put_configuration(service)
    await store.start(ip, port)
    print("listening", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
