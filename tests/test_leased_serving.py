"""Tests of complete hosts on loopback, against stand-ins of the platform."""

import asyncio
import collections
import itertools
import json
import logging
import os
import pathlib
import tempfile
import unittest

from typer import testing

from godwitnotch import cli
from godwitnotch import leased_demo
from godwitnotch import leased_root
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types
from godwitnotch.net import leased_calls
from godwitnotch.net import listeners
from godwitnotch.platform import settings
from godwitnotch.standins import leased_platform

IP = "127.0.0.1"
TIMEOUT_S = 20.0
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "nony24.example",
            "prefix": "/jobs/",
            "kind": "unsafe",
            "timeout_ms": 1500,
            # Long enough that no job is refused on a slow machine.
            "target_duration_ms": 60_000,
            "priority": 0,
            "service": "orders",
            "max_attempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "orders", "enforces_capacity": True}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
}
JOB = {
    "best_effort": True,
    "spec": "x",
    "steps": [{"count": 3, "cpu": 1000, "mem_mb": 1, "estimate_ms": 50}],
}

UNSENDABLE_STEP = {**JOB["steps"][0], "affinity": "\ud800"}


class DemoTest(unittest.TestCase):
    def test_jobs_complete_although_the_leader_fails(self) -> None:
        self.assertEqual(leased_demo.run(), 0)


class CommandsTest(unittest.TestCase):
    def test_platform_settings_are_checked(self) -> None:
        runner = testing.CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "settings.conf"
            for text, code, output in (
                ("node=a\nzone=d\n", 2, "listen.front is missing"),
                (
                    "node=a\nzone=d\nlisten.front=127.0.0.1:1\n"
                    "listen.ready=127.0.0.1:2\nlisten.control=127.0.0.1:3\n"
                    "port_range=9,12\nplatform.address=127.0.0.1:4\n",
                    0,
                    "metrics_port=9",
                ),
            ):
                file.write_text(text)
                result = runner.invoke(
                    cli.app, ["settings", "platform", str(file)]
                )
                self.assertEqual(result.exit_code, code, result.output)
                self.assertIn(output, result.output.replace("\n", " "))


class LeasedServingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.client = http_client.HttpClient()
        self.addAsyncCleanup(self.client.close)
        self.store = leased_platform.StandInStore()
        self.store_address = await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.store.put("op", "config", json.dumps(CONFIG).encode())
        self.upstreams = []
        for number, domain in enumerate("aabb"):
            # The id differs in each process, so that a stray order of another
            # test process is rejected.
            upstream = leased_platform.StandInUpstream(
                upstream=f"i-{os.getpid()}-{number}",
                domain=domain,
                service="orders",
            )
            await upstream.start()
            self.addAsyncCleanup(upstream.close)
            self.upstreams.append(upstream)
            self.store.put_upstream(upstream)
        # Malformed entries must not affect the other upstreams.
        self.store.put("servers", "i-bad", b'{"service": 3}')
        self.store.put("servers", "i-worse", b"\xff\xfe")
        self.hosts = []
        seeds: list[str] = []
        for domain in "aab":
            await self.start_host(domain, seeds)
        await self.wait_until(lambda: all(map(self.is_ready, self.hosts)))

    async def start_host(self, domain: str, seeds: list[str]) -> None:
        sockets = [listeners.bind(IP, 0) for _ in range(4)]
        front, ready, control, metrics = (
            bound.getsockname()[1] for bound in sockets
        )
        text = "\n".join(
            (
                f"node=front-{domain}-{len(self.hosts)}",
                f"zone={domain}",
                f"listen.front={IP}:{front}",
                f"listen.ready={IP}:{ready}",
                f"listen.control={IP}:{control}",
                f"port_range={metrics},{metrics}",
                f"seeds={','.join(seeds)}",
                f"platform.address={self.store_address}",
                "limits.cpu_share=0.5",
                "limits.cores=2",
                "bounds.grace_s=6",
                "a.field.that.is=new",
            )
        )
        host = leased_root.LeasedHost(settings.parse(text))
        await host.start(
            {f"{IP}:{bound.getsockname()[1]}": bound for bound in sockets}
        )
        self.addAsyncCleanup(host.close)
        seeds.append(f"{IP}:{control}")
        self.hosts.append(host)

    def is_ready(self, host: leased_root.LeasedHost) -> bool:
        return host._core.ready and host.configuration is not None

    async def wait_until(self, condition) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + TIMEOUT_S
        while not condition():
            self.assertLess(loop.time(), end, "condition not met in time")
            await asyncio.sleep(0.01)

    async def send(
        self,
        host: leased_root.LeasedHost,
        method: str,
        path: str,
        body: object = None,
        *,
        wait_ms: int = 10_000,
    ) -> http_types.HttpResponse:
        loop = asyncio.get_running_loop()
        return await self.client.request(
            host._settings.callers,
            http_types.HttpRequest(
                method,
                path,
                headers={
                    "host": "nony24.example",
                    "x-request-deadline": str(wait_ms),
                },
                body=b"" if body is None else json.dumps(body).encode(),
            ),
            deadline=loop.time() + TIMEOUT_S,
            max_body_bytes=100_000,
        )

    def assert_each_task_done_once(self, task_count: int) -> None:
        """Checks that tasks end once and never run twice at one time.

        A task starts again only after an earlier run was stopped: on a slow
        machine a response can miss the timeout of its order.
        """
        runs = [run for upstream in self.upstreams for run in upstream.runs]
        ends = collections.Counter(
            run.task for run in runs if run.end == "done"
        )
        self.assertEqual(len(ends), task_count)
        self.assertEqual(set(ends.values()), {1})
        self.assertEqual({run.end for run in runs} - {"done", "stopped"}, set())
        for one, other in itertools.combinations(runs, 2):
            self.assertFalse(one.overlaps(other), (one, other))

    def starts(self) -> list[str]:
        return [task for each in self.upstreams for task in each.starts]

    async def test_jobs_through_every_host(self) -> None:
        responses = await asyncio.gather(
            *(
                self.send(host, "POST", f"/jobs/{number:016x}", JOB)
                for number, host in enumerate(self.hosts * 4)
            )
        )
        states = {(each.status, each.body) for each in responses}
        self.assertEqual(states, {(200, b'{"state": "completed"}')})
        self.assert_each_task_done_once(36)
        self.assertLessEqual(
            max(u.max_concurrent_runs for u in self.upstreams), 2
        )

    async def test_jobs_whose_calls_go_through_relays(self) -> None:
        (leader,) = [host for host in self.hosts if host.leads]
        relays = leader._core.relays
        relays._start_limit = relays._stop_limit = 0.0
        await self.send(leader, "POST", f"/jobs/{99:016x}", JOB)
        await self.wait_until(lambda: relays.active)
        sent_by_leader = []
        send = leader._order_client.send

        def send_order(order):
            sent_by_leader.append(order)
            return send(order)

        leader._order_client.send = send_order
        responses = await asyncio.gather(
            *(
                self.send(host, "POST", f"/jobs/{number:016x}", JOB)
                for number, host in enumerate(self.hosts * 4)
            )
        )
        self.assertEqual({each.status for each in responses}, {200})
        self.assert_each_task_done_once(39)
        # On a slow machine a relayed call fails, and the leader then calls the
        # upstream itself.
        failed = sum(
            count
            for (event, _), count in leader._metrics._events.items()
            if event in ("order_unanswered", "order_rejected")
        )
        if not failed:
            self.assertEqual(sent_by_leader, [])
            self.assertEqual(relays.lost_count, 0)
            # The starts of 36 tasks, and lists that may show some ends each.
            self.assertGreater(relays.relayed_count, 36)
        self.assertGreater(relays.relayed_count, 0)
        metrics = (await leader._handle_metrics(None)).body.decode()
        self.assertIn("godwitnotch_relays_active 1\n", metrics)
        self.assertIn(
            f"godwitnotch_relayed_calls {relays.relayed_count}\n", metrics
        )

    async def test_slow_responses_start_tasks_again_but_not_at_the_same_time(
        self,
    ) -> None:
        # An order without a response in time is stopped, and its task starts
        # again once the upstream has confirmed that.
        for upstream in self.upstreams[:2]:
            upstream.faults.response_delay_s = 2 * leased_calls.ORDER_TIMEOUT_S
            upstream.run_time_s = 3 * leased_calls.ORDER_TIMEOUT_S
        responses = await asyncio.gather(
            *(
                self.send(host, "POST", f"/jobs/{number:016x}", JOB)
                for number, host in enumerate(self.hosts * 2)
            )
        )
        self.assertEqual({each.status for each in responses}, {200})
        self.assertGreater(len(self.starts()), 18)
        self.assert_each_task_done_once(18)

    async def test_job_completes_in_a_store_outage(self) -> None:
        self.store.down = True
        response = await self.send(
            self.hosts[1], "POST", f"/jobs/{1:016x}", JOB
        )
        self.assertEqual(response.status, 200)

    async def test_new_configuration_is_in_force_at_every_host(self) -> None:
        newer = {**CONFIG, "version": 9, "routes": []}
        self.store.put("op", "config", json.dumps(newer).encode())
        await self.wait_until(
            lambda: all(h.configuration.version == 9 for h in self.hosts)
        )
        older = {**CONFIG, "version": 8}
        self.store.put("op", "config", json.dumps(older).encode())
        response = await self.send(self.hosts[0], "GET", "/jobs/")
        self.assertEqual(response.status, 404)

    def knows(self, host: leased_root.LeasedHost, *domains: str) -> bool:
        evacuated = host._core.evacuated
        return evacuated is not None and evacuated.domains == set(domains)

    async def test_evacuated_domain_gets_no_tasks_also_in_an_outage(
        self,
    ) -> None:
        (leader,) = (host for host in self.hosts if host.leads)
        # The store turns the leader away; the other hosts tell it.
        leader._store_watcher._store._address = f"{IP}:1"
        await asyncio.sleep(1.1)  # Ends the long poll that is under way.
        self.store.put("op", "evacuate/a", b"{}")
        await self.wait_until(
            lambda: all(self.knows(host, "a") for host in self.hosts)
        )
        self.store.down = True
        await self.start_host("b", [self.hosts[0]._settings.peers])
        await self.wait_until(lambda: self.is_ready(self.hosts[-1]))
        for number, host in enumerate(self.hosts):
            response = await self.send(
                host, "POST", f"/jobs/{number:016x}", JOB
            )
            self.assertEqual(response.status, 200)
        evacuated = self.upstreams[:2]
        self.assertEqual([each.starts for each in evacuated], [[], []])
        self.store.down = False
        self.store.remove("op", "evacuate/a")
        await self.wait_until(
            lambda: all(self.knows(host) for host in self.hosts)
        )
        responses = await asyncio.gather(
            *(
                self.send(host, "POST", f"/jobs/{number:016x}", JOB)
                for number, host in enumerate(self.hosts * 3, start=100)
            )
        )
        self.assertEqual({each.status for each in responses}, {200})
        self.assertTrue(any(each.starts for each in evacuated))

    async def test_evacuation_of_all_domains_refuses_at_once(self) -> None:
        for domain in "ab":
            self.store.put("op", f"evacuate/{domain}", b"{}")
        await self.wait_until(
            lambda: all(self.knows(host, "a", "b") for host in self.hosts)
        )
        response = await self.send(
            self.hosts[2], "POST", f"/jobs/{1:016x}", JOB
        )
        self.assertEqual(response.status, 503)
        self.assertIn(b"no_upstream", response.body)
        self.assertIn("retry-after", response.headers)
        self.assertEqual(self.starts(), [])

    async def test_host_that_starts_in_an_outage_asks_its_peers(
        self,
    ) -> None:
        self.store.down = True
        seeds = [self.hosts[0]._settings.peers]
        await self.start_host("b", seeds)
        await self.wait_until(lambda: self.is_ready(self.hosts[-1]))
        response = await self.send(
            self.hosts[-1], "POST", f"/jobs/{1:016x}", JOB
        )
        self.assertEqual(response.status, 200)

    async def test_configuration_is_not_sent_over_each_new_link(self) -> None:
        # In a benchmark of a large deployment, sending 350 routes to 39
        # peers over each new link saturated slow networks, so that heartbeats
        # came late and links broke.
        sent = []
        host = self.hosts[0]
        send = host._links.send

        def record_and_send(peer, message):
            sent.append(type(message))
            return send(peer, message)

        host._links.send = record_and_send
        await self.start_host("b", [host._settings.peers])
        await self.wait_until(lambda: self.is_ready(self.hosts[-1]))
        await asyncio.sleep(1.0)
        self.assertIn(peer_messages.HostsKnown, sent)
        self.assertNotIn(peer_messages.ConfigurationCopy, sent)

    async def test_jobs_of_unsupported_shapes_never_run(self) -> None:
        step = JOB["steps"][0]
        shapes = (
            {**JOB, "best_effort": False},
            {**JOB, "steps": [step, {**step, "after": [0]}]},
            {**JOB, "steps": [{**step, "gang": True}]},
            {**JOB, "times": 3},
            {**JOB, "persistent": True},
        )
        for number, shape in enumerate(shapes):
            with self.subTest(shape=shape):
                path = f"/jobs/{number:016x}"
                response = await self.send(self.hosts[0], "POST", path, shape)
                self.assertEqual(response.status, 503)
                self.assertIn("retry-after", response.headers)
        self.assertEqual(self.starts(), [])

    async def test_malformed_requests_are_rejected(self) -> None:
        for path, body, status in (
            ("/jobs/short", JOB, 404),
            ("/other/0000000000000001", JOB, 404),
            (f"/jobs/{1:016x}", [], 400),
            (f"/jobs/{1:016x}", {**JOB, "steps": []}, 400),
            (f"/jobs/{1:016x}", {**JOB, "steps": [{"count": 0}]}, 400),
            (f"/jobs/{1:016x}", {**JOB, "steps": [{"cpu": "x"}]}, 400),
            (f"/jobs/{1:016x}", {**JOB, "spec": "x" * 5_000}, 400),
            # Text that no message between hosts can carry: the job was lost.
            (f"/jobs/{1:016x}", {**JOB, "spec": "\ud800"}, 400),
            (f"/jobs/{1:016x}", {**JOB, "steps": [UNSENDABLE_STEP]}, 400),
        ):
            with self.subTest(path=path, body=str(body)[:60]):
                response = await self.send(self.hosts[0], "POST", path, body)
                self.assertEqual(response.status, status)
        self.assertEqual(self.starts(), [])

    async def test_pending_and_unknown_jobs(self) -> None:
        response = await self.send(self.hosts[0], "GET", "/jobs/")
        self.assertEqual(json.loads(response.body), {"pending": 0})
        for method in ("GET", "DELETE"):
            path = f"/jobs/{5:016x}"
            response = await self.send(self.hosts[0], method, path)
            self.assertEqual(response.status, 410)

    async def test_runs_are_stopped_when_the_caller_disconnects(self) -> None:
        for upstream in self.upstreams:
            upstream.faults.hangs = True
        path = f"/jobs/{3:016x}"
        request = asyncio.create_task(
            self.send(self.hosts[0], "POST", path, JOB)
        )
        await self.wait_until(lambda: len(self.starts()) == 3)
        request.cancel()
        await self.wait_until(
            lambda: not any(u.running() for u in self.upstreams)
        )

    async def test_runs_are_stopped_at_the_deadline(self) -> None:
        for upstream in self.upstreams:
            upstream.faults.hangs = True
        path = f"/jobs/{4:016x}"
        response = await self.send(
            self.hosts[0], "POST", path, JOB, wait_ms=200
        )
        self.assertEqual(response.status, 504)
        await self.wait_until(
            lambda: not any(u.running() for u in self.upstreams)
        )

    async def test_upstream_that_executes_orders_late(self) -> None:
        self.upstreams[0].faults.order_delay_s = 0.8
        responses = await asyncio.gather(
            *(
                self.send(host, "POST", f"/jobs/{number:016x}", JOB)
                for number, host in enumerate(self.hosts)
            )
        )
        self.assertEqual({each.status for each in responses}, {200})

    async def test_drain_answers_every_accepted_job(self) -> None:
        # In a benchmark, answers were lost: a drain waited until no job was
        # open. That never happens while callers keep submitting jobs, so the
        # drain was aborted at its deadline.
        draining = self.hosts[1]
        lost_answers: list[http_connection.ExchangeError] = []
        numbers = itertools.count(1)
        for upstream in self.upstreams:
            upstream.run_time_s = 0.9
        long_job = {**JOB, "steps": [{**JOB["steps"][0], "estimate_ms": 900}]}

        async def submit_until_refused() -> None:
            while True:
                path = f"/jobs/{next(numbers):016x}"
                try:
                    await self.send(draining, "POST", path, long_job)
                except http_connection.ExchangeError as error:
                    if error.progress is http_connection.Progress.SENT:
                        lost_answers.append(error)
                    return

        callers = [
            asyncio.create_task(submit_until_refused()) for _ in range(4)
        ]
        await asyncio.sleep(0.1)
        draining._start_drain()
        await draining.wait_drained()
        await draining.close()
        await asyncio.gather(*callers)
        self.assertEqual(lost_answers, [])
        self.assertGreater(next(numbers), 8)

    async def explain(
        self,
        host: leased_root.LeasedHost,
        body: bytes,
        *,
        path: str = f"/jobs/{1:016x}",
        method: str = "POST",
    ) -> http_types.HttpResponse:
        return await self.client.request(
            host._metrics_address(),
            http_types.HttpRequest(
                method,
                "/explain-job",
                {"authority": "nony24.example:80", "path": path},
                body=body,
            ),
            deadline=asyncio.get_running_loop().time() + TIMEOUT_S,
            max_body_bytes=100_000,
        )

    async def test_every_host_explains_a_job_that_is_not_sent(self) -> None:
        async def read_counts() -> list[list[bytes]]:
            # Others may change meanwhile, as the count of stalls.
            bodies = [(await h._handle_metrics(None)).body for h in self.hosts]
            return [
                [each for each in body.splitlines() if b"job" in each]
                for body in bodies
            ]

        counts = await read_counts()
        (leader,) = [host for host in self.hosts if host.leads]
        for host in self.hosts:
            response = await self.explain(host, json.dumps(JOB).encode())
            self.assertEqual(response.status, 200, response.body)
            report = json.loads(response.body)
            self.assertEqual(report["route"]["name"], "r-1")
            self.assertEqual(report["leader"]["id"], leader._settings.peers)
            self.assertEqual(report["admission"]["outcome"], "kept")
            self.assertEqual(report["placement"]["outcome"], "placed")
            self.assertEqual(report["placement"]["suitable"], 4)
        self.assertEqual(self.starts(), [])
        self.assertEqual(await read_counts(), counts)

    async def test_what_cannot_be_explained_names_the_remedy(self) -> None:
        host = self.hosts[0]
        body = json.dumps(JOB).encode()
        stored = json.dumps({**JOB, "best_effort": False}).encode()
        get = await self.explain(host, b"", method="GET")
        self.assertEqual(get.status, 405)
        for sent, path, status, kind, remedy in (
            (body, "/other/1", 404, "no_route", "check both"),
            (body, "/jobs/1", 404, "no_job", "append one to /jobs/"),
            (b"{", None, 400, "malformed_job", "ask its writer"),
            (stored, None, 422, "shape_not_served", "send the job without"),
        ):
            response = await self.explain(
                host, sent, path=path or f"/jobs/{1:016x}"
            )
            with self.subTest(kind=kind):
                self.assertEqual(response.status, status)
                error = json.loads(response.body)["error"]
                self.assertEqual(error["kind"], kind)
                self.assertIn(remedy, error["detail"])

    async def test_host_without_a_configuration_explains_nothing(self) -> None:
        # The command must not take that for a missing route.
        host = self.hosts[0]
        host._runtime._configuration = None
        response = await self.explain(host, json.dumps(JOB).encode())
        self.assertEqual(response.status, 503)
        error = json.loads(response.body)["error"]
        self.assertEqual(error["kind"], "no_configuration")
        self.assertIn("ask another host", error["detail"])

    async def test_silent_leader_and_full_host_are_told_apart(self) -> None:
        (leader,) = [host for host in self.hosts if host.leads]
        asking = next(host for host in self.hosts if not host.leads)
        body = json.dumps(JOB).encode()
        # The leader drops the requests, as one that is paused would.
        leader._core._job_reports.wanted = lambda *_, **__: None
        responses = await asyncio.gather(
            *(self.explain(asking, body) for _ in range(3))
        )
        kinds = [json.loads(r.body)["error"]["kind"] for r in responses]
        self.assertEqual(
            sorted(kinds), ["no_answer", "no_answer", "too_many_requests"]
        )
        self.assertEqual(asking._runtime._pending_reports, {})
        asking._core._owned_jobs.next_leader = lambda: ""
        response = await self.explain(asking, body)
        self.assertEqual(response.status, 503)
        self.assertIn(b"no_leader", response.body)

    async def test_explain_job_command(self) -> None:
        runner = testing.CliRunner()

        def run(address: str, body: str) -> testing.Result:
            return runner.invoke(
                cli.app,
                [
                    *("explain-job", "-", "--host", address),
                    *("--authority", "nony24.example"),
                    *("--path", f"/jobs/{1:016x}", "--wait-ms", "900"),
                ],
                input=body,
            )

        host = self.hosts[0]
        address = host._metrics_address()
        result = await asyncio.to_thread(run, address, json.dumps(JOB))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("route name=r-1 service=orders", result.output)
        self.assertIn("wait_s=0.880", result.output)
        self.assertIn("placement outcome=placed upstream=i-", result.output)
        result = await asyncio.to_thread(run, address, "{")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("malformed_job", result.output)
        ready = host._settings.ready
        result = await asyncio.to_thread(run, ready, json.dumps(JOB))
        self.assertEqual(result.exit_code, 5)
        self.assertIn("Check that --host is the", result.output)

    async def test_metrics_and_readiness(self) -> None:
        await self.send(self.hosts[0], "POST", f"/jobs/{1:016x}", JOB)
        loop = asyncio.get_running_loop()
        found = {}
        for address in (
            self.hosts[0]._settings.ready,
            self.hosts[0]._metrics_address(),
        ):
            found[address] = await self.client.request(
                address,
                http_types.HttpRequest("GET", "/readiness"),
                deadline=loop.time() + TIMEOUT_S,
                max_body_bytes=100_000,
            )
        ready, metrics = found.values()
        self.assertEqual(ready.status, 200)
        self.assertIn(
            b'godwitnotch_answers_total{end="completed",reason="none"} 1',
            metrics.body,
        )
        self.assertIn(b"godwitnotch_job_seconds_count 1", metrics.body)
