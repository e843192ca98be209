"""In-memory stand-in of the platform: store, objects and directory."""

import asyncio
import hashlib
import json
from collections.abc import Callable
from collections.abc import Sequence

import msgspec
import yaml

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.net import platform_client
from godwitnotch.standins import faults
from godwitnotch.standins import table

DEFAULT_REGISTRATION_TTL_S = 5.0
_MAX_BODY_BYTES = 64 * 1024 * 1024


def read_upstreams(text: str) -> list[model.UpstreamEntry]:
    """Parses a YAML list of upstreams.

    Raises:
        ValueError: An entry lacks a key or has a malformed value.
    """
    entries = yaml.safe_load(text) or []
    try:
        return [platform_client.upstream_from_json(entry) for entry in entries]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(
            f"malformed list of upstreams ({error!r}); each entry needs "
            "upstream, domain, address, slots and connections"
        ) from error


class Platform:
    """Serves the platform protocol from memory.

    Args:
        upstreams: Upstreams in the directory.
        registration_ttl_s: Time after which a registration of a host expires.
    """

    def __init__(
        self,
        upstreams: Sequence[model.UpstreamEntry] = (),
        *,
        registration_ttl_s: float = DEFAULT_REGISTRATION_TTL_S,
    ) -> None:
        self.table = table.Table()
        self.faults = faults.Faults()
        self._upstreams = {entry.upstream: entry for entry in upstreams}
        self._registration_ttl_s = registration_ttl_s
        self._hosts: dict[ids.HostId, _Registration] = {}
        self._objects: dict[str, bytes] = {}
        self._cached_directory: _CachedDirectory | None = None
        self._server = http_server.HttpServer(
            faults.with_faults(self._handle, lambda: self.faults),
            limits=http_types.HttpLimits(max_body_bytes=_MAX_BODY_BYTES),
        )

    async def start(self, ip: str, port: int) -> int:
        """Listens on an address and returns the port."""
        return await self._server.start(ip, port)

    async def stop(self) -> None:
        """Closes all connections."""
        await self._server.stop(deadline=asyncio.get_running_loop().time())

    def set_upstream(self, entry: model.UpstreamEntry) -> None:
        """Adds or replaces an upstream in the directory."""
        self._upstreams[entry.upstream] = entry
        self._cached_directory = None

    def set_leaving(self, upstream: ids.UpstreamId, *, leaving: bool) -> None:
        """Lists an upstream as leaving or not.

        Raises:
            KeyError: The directory has no such upstream.
        """
        entry = self._upstreams[upstream]
        self.set_upstream(msgspec.structs.replace(entry, leaving=leaving))

    async def _handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        route = _ROUTES.get((request.method, request.path))
        try:
            if route is not None:
                return route(self, request)
            if request.path.startswith("/objects/"):
                return self._handle_object(request)
            if request.path.startswith("/upstreams/"):
                return self._mark_leaving(request)
        except (ValueError, KeyError, TypeError) as error:
            return http_server.error_response(
                400, "bad_request", f"{error!r}; see platform-protocol.md"
            )
        return http_server.error_response(
            404, "not_found", "no such path; see platform-protocol.md"
        )

    def _transact(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        writes = platform_client.writes_from_json(
            json.loads(request.body)["writes"]
        )
        conflicting_rows = self.table.transact(writes)
        return _rows_response(
            conflicting_rows, 409 if conflicting_rows else 200
        )

    def _read(self, request: http_types.HttpRequest) -> http_types.HttpResponse:
        return _rows_response(
            self.table.read(json.loads(request.body)["keys"]), 200
        )

    def _scan(self, request: http_types.HttpRequest) -> http_types.HttpResponse:
        return _rows_response(
            self.table.scan(request.query.get("prefix", "")), 200
        )

    def _get_directory(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        directory = self._directory_response()
        if request.headers.get("if-none-match") == directory.headers["etag"]:
            return http_types.HttpResponse(304, headers=directory.headers)
        return directory

    def _directory_response(self) -> http_types.HttpResponse:
        """Returns the hosts and upstreams, from the cache if unchanged."""
        now = asyncio.get_running_loop().time()
        hosts = [
            registration.entry
            for registration in self._hosts.values()
            if registration.expires_at > now
        ]
        if (
            self._cached_directory is None
            or self._cached_directory.hosts != hosts
        ):
            value = {
                "hosts": [msgspec.to_builtins(entry) for entry in hosts],
                "upstreams": [
                    msgspec.to_builtins(upstream)
                    for upstream in self._upstreams.values()
                ],
            }
            response = _json_response(value)
            digest = hashlib.blake2b(response.body, digest_size=8).hexdigest()
            response = msgspec.structs.replace(
                response, headers={"etag": digest}
            )
            self._cached_directory = _CachedDirectory(hosts, response)
        return self._cached_directory.response

    def _register(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        entry = platform_client.host_from_json(json.loads(request.body))
        now = asyncio.get_running_loop().time()
        self._hosts[entry.host] = _Registration(
            entry, now + self._registration_ttl_s
        )
        return _json_response({})

    def _handle_object(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        name = request.path.removeprefix("/objects/")
        if request.method == "PUT":
            self._objects[name] = request.body
            return _json_response({})
        if name not in self._objects:
            return http_server.error_response(
                404, "not_found", f"no object {name!r}; put it first"
            )
        return http_types.HttpResponse(
            200,
            self._objects[name],
            {"content-type": "application/octet-stream"},
        )

    def _mark_leaving(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        name = request.path.removeprefix("/upstreams/")
        leaving = json.loads(request.body)["leaving"]
        self.set_leaving(ids.UpstreamId(name), leaving=bool(leaving))
        return _json_response({})


class _Registration(msgspec.Struct, frozen=True):
    entry: model.HostEntry
    expires_at: float


class _CachedDirectory(msgspec.Struct, frozen=True):
    hosts: list[model.HostEntry]
    response: http_types.HttpResponse


_Route = Callable[[Platform, http_types.HttpRequest], http_types.HttpResponse]
_ROUTES: dict[tuple[str, str], _Route] = {
    ("POST", "/table/transact"): Platform._transact,
    ("POST", "/table/read"): Platform._read,
    ("GET", "/table/scan"): Platform._scan,
    ("GET", "/hosts"): Platform._get_directory,
    ("POST", "/hosts"): Platform._register,
}


def _rows_response(
    rows: Sequence[model.Row], status: int
) -> http_types.HttpResponse:
    body = {"rows": [platform_client.row_json(row) for row in rows]}
    return http_types.HttpResponse(status, json.dumps(body).encode())


def _json_response(value: object) -> http_types.HttpResponse:
    return http_types.HttpResponse(200, json.dumps(value).encode())
