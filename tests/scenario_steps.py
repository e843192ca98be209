"""Runs the statements and expectations of the scenario language."""

import operator

import lark

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from tests import callers
from tests import fakes
from tests import scenario

CONFIG_PUT_TIMEOUT_S = 15.0
RUN_UNTIL_TIMEOUT_S = 60.0
FLEET = """\
hosts h1 in d1
hosts h2 in d2
hosts h3 in d3
upstreams u1, u2 in d1 taking 300ms
upstreams u3 in d2 taking 300ms
workspace shop wait 20s
"""

_COMPARISONS = {"=": operator.eq, "<=": operator.le, ">=": operator.ge}
_STORE_MODES = {
    "losing answers": fakes.StoreMode.LOSES_RESPONSES,
    "losing acks": fakes.StoreMode.LOSES_ACKS,
    "losing requests": fakes.StoreMode.LOSES_REQUESTS,
}


@scenario.step("promise")
def _promise(run: scenario.Scenario, tree: lark.Tree) -> None:
    """Does nothing; the statement tells readers which promise is tested."""


@scenario.step("fleet")
def _fleet(run: scenario.Scenario, tree: lark.Tree) -> None:
    for statement in scenario.parser().parse(FLEET).children:
        run.run_statement(statement)


@scenario.step("hosts")
def _hosts(run: scenario.Scenario, tree: lark.Tree) -> None:
    for name in scenario.names_of(tree.children[0]):
        run.world.add_host(name, str(tree.children[1]))


@scenario.step("upstreams")
def _upstreams(run: scenario.Scenario, tree: lark.Tree) -> None:
    options = scenario.Options(tree)
    for name in scenario.names_of(tree.children[0]):
        run.world.add_upstream(
            name,
            str(tree.children[1]),
            slots=options.integer("slots", 8),
            run_time_s=options.seconds("taking", 0.1),
        )


def _config(
    workspace: str, version: int, options: scenario.Options
) -> model.WorkspaceConfig:
    name = ids.TemplateName("check")
    template = model.Template(
        name,
        "/check",
        upstreams=frozenset(
            ids.UpstreamId(upstream) for upstream in options.names("on")
        ),
        max_wait_s=options.seconds("wait", 30.0),
        idempotent="idempotent" in options,
    )
    return model.WorkspaceConfig(
        ids.WorkspaceId(workspace),
        version,
        {name: template},
        max_running_tasks=options.integer("quota", 1_000),
        max_queued_tasks=options.integer("queue", 10_000),
    )


@scenario.step("workspace")
def _workspace(run: scenario.Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    if not run.world.hosts:
        raise run.error("no host yet", "declare `hosts` above")
    run.workspace = name
    run.world.run(3.0)
    call = run.callers.put_config(
        f"workspace-{name}",
        host=next(iter(run.world.hosts)),
        config=_config(name, 1, scenario.Options(tree)),
        timeout_s=CONFIG_PUT_TIMEOUT_S,
    )
    run.world.run(CONFIG_PUT_TIMEOUT_S, lambda: call.reply is not None)
    reply = call.reply
    recorded = isinstance(reply, actions.ReplyConfig) and reply.recorded
    run.expect(bool(recorded), f"workspace {name} not recorded: {reply}")
    run.world.run(2.0)


@scenario.step("reserve")
def _reserve(run: scenario.Scenario, tree: lark.Tree) -> None:
    name, host = (str(token) for token in tree.children[:2])
    run.host(host)
    options = scenario.Options(tree)
    key = options.text("key")
    run.identities[name] = f"key:{key}" if key else name
    run.callers.reserve(
        f"reserve-{name}",
        host=host,
        workspace=options.text("of_workspace", run.workspace),
        key=key or None,
    )


def _identity(
    run: scenario.Scenario, name: str, options: scenario.Options
) -> str:
    identity = run.identities.get(name, name)
    body = options.text("body")
    return f"{identity}/{body}" if body else identity


@scenario.step("submit")
def _submit(run: scenario.Scenario, tree: lark.Tree) -> None:
    name, host = (str(token) for token in tree.children[:2])
    run.host(host)
    options = scenario.Options(tree)
    identity = _identity(run, name, options)
    run.callers.submit(
        options.text("as_label", name),
        host=host,
        workspace=options.text("of_workspace", run.workspace),
        submission=run.submission(name),
        body=callers.body_of(identity, tasks=options.integer("tasks", 3)),
        identity=identity,
        timeout_s=options.seconds("within", 10.0),
    )


@scenario.step("submit_keyed")
def _submit_keyed(run: scenario.Scenario, tree: lark.Tree) -> None:
    key, host = (str(token) for token in tree.children[:2])
    run.host(host)
    options = scenario.Options(tree)
    identity = _identity(run, f"key:{key}", options)
    run.callers.submit_keyed(
        options.text("as_label", key),
        host=host,
        workspace=options.text("of_workspace", run.workspace),
        key=key,
        body=callers.body_of(identity, tasks=options.integer("tasks", 3)),
        timeout_s=options.seconds("within", 10.0),
    )


@scenario.step("submit_jobs")
def _submit_jobs(run: scenario.Scenario, tree: lark.Tree) -> None:
    count, prefix = int(tree.children[0]), str(tree.children[1])
    hosts = scenario.names_of(tree.children[2])
    options = scenario.Options(tree)
    for number in range(count):
        name, host = f"{prefix}-{number}", hosts[number % len(hosts)]
        run.host(host)
        run.callers.reserve(
            f"reserve-{name}", host=host, workspace=run.workspace
        )
        run.callers.submit(
            name,
            host=host,
            workspace=run.workspace,
            submission=run.submission(name),
            body=callers.body_of(name, tasks=options.integer("tasks", 3)),
            identity=name,
            timeout_s=options.seconds("within", 10.0),
        )


def _query_or_cancel(
    run: scenario.Scenario,
    tree: lark.Tree,
    kind: type[events.StatusAsked] | type[events.CancelAsked],
) -> None:
    name, host = (str(token) for token in tree.children[:2])
    run.host(host)
    run.callers.query_or_cancel(
        kind,
        scenario.Options(tree).text("as_label", f"{tree.data}-{name}"),
        host=host,
        workspace=run.workspace,
        submission=run.submission(name),
        identity=run.identities.get(name, name),
    )


@scenario.step("status")
def _status(run: scenario.Scenario, tree: lark.Tree) -> None:
    _query_or_cancel(run, tree, events.StatusAsked)


@scenario.step("cancel")
def _cancel(run: scenario.Scenario, tree: lark.Tree) -> None:
    _query_or_cancel(run, tree, events.CancelAsked)


@scenario.step("put")
def _put(run: scenario.Scenario, tree: lark.Tree) -> None:
    name, version, host = (str(token) for token in tree.children[:3])
    run.host(host)
    options = scenario.Options(tree)
    run.callers.put_config(
        options.text("as_label", f"put-{name}-{version}"),
        host=host,
        config=_config(name, int(version), options),
        timeout_s=options.seconds("within", 10.0),
    )


@scenario.step("kill")
def _kill(run: scenario.Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    run.host(name)
    run.world.kill(name, silently=tree.children[1] is not None)


@scenario.step("restart")
def _restart(run: scenario.Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    old = run.host(name)
    if old.alive:
        run.world.kill(name)
    run.world.add_host(name, old.entry.domain)


@scenario.step("revive")
def _revive(run: scenario.Scenario, tree: lark.Tree) -> None:
    if not run.host(str(tree.children[0])).alive:
        _restart(run, tree)


@scenario.step("pause")
def _pause(run: scenario.Scenario, tree: lark.Tree) -> None:
    host = run.host(str(tree.children[0]))
    host.pause(after_deciding=tree.children[1] is not None)


@scenario.step("resume")
def _resume(run: scenario.Scenario, tree: lark.Tree) -> None:
    run.host(str(tree.children[0])).resume()


@scenario.step("drain")
def _drain(run: scenario.Scenario, tree: lark.Tree) -> None:
    host = run.host(str(tree.children[0]))
    within_s = scenario.Options(tree).seconds("within", 30.0)
    host.drain_deadline = host.clock + within_s
    host.deliver(events.DrainAsked(host.drain_deadline))


@scenario.step("cut")
def _cut(run: scenario.Scenario, tree: lark.Tree) -> None:
    for one in run.endpoints(scenario.names_of(tree.children[0])):
        for other in run.endpoints(scenario.names_of(tree.children[1])):
            if one != other:
                run.world.cut(one, other)


@scenario.step("heal")
def _heal(run: scenario.Scenario, tree: lark.Tree) -> None:
    for one in run.endpoints(scenario.names_of(tree.children[0])):
        for other in run.endpoints(scenario.names_of(tree.children[1])):
            run.world.heal(one, other)


@scenario.step("heal_all")
def _heal_all(run: scenario.Scenario, tree: lark.Tree) -> None:
    run.world.heal_all()


@scenario.step("skew")
def _skew(run: scenario.Scenario, tree: lark.Tree) -> None:
    host = run.host(str(tree.children[0]))
    host.clock_offset_s = scenario.seconds(str(tree.children[1]))


@scenario.step("store")
def _store(run: scenario.Scenario, tree: lark.Tree) -> None:
    text, slow = str(tree.children[0]), tree.children[1]
    store = run.world.store
    store.mode = _STORE_MODES.get(text) or fakes.StoreMode(text)
    store.response_time_s = scenario.seconds(str(slow)) if slow else 0.0


@scenario.step("upstream_mode")
def _upstream_mode(run: scenario.Scenario, tree: lark.Tree) -> None:
    upstream = run.upstream(str(tree.children[0]))
    upstream.mode = fakes.UpstreamMode(str(tree.children[1]))


@scenario.step("upstream_time")
def _upstream_time(run: scenario.Scenario, tree: lark.Tree) -> None:
    upstream = run.upstream(str(tree.children[0]))
    upstream.run_time_s = scenario.seconds(str(tree.children[1]))


@scenario.step("leave")
def _leave(run: scenario.Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    run.upstream(name)
    run.world.mark_leaving(name)


@scenario.step("lag")
def _lag(run: scenario.Scenario, tree: lark.Tree) -> None:
    run.world.directory_lag_s = scenario.seconds(str(tree.children[0]))


@scenario.step("run")
def _run(run: scenario.Scenario, tree: lark.Tree) -> None:
    run.world.run(scenario.seconds(str(tree.children[0])))


@scenario.step("run_until")
def _run_until(run: scenario.Scenario, tree: lark.Tree) -> None:
    label = str(tree.children[0])
    call = run.call(label)
    timeout_s = scenario.Options(tree).seconds("within", RUN_UNTIL_TIMEOUT_S)
    run.world.run(timeout_s, lambda: call.reply is not None)
    run.expect(
        call.reply is not None, f"{label} was not answered in {timeout_s} s"
    )


def _outcomes(tree: lark.Tree) -> set[str]:
    return {
        str(child.children[0])
        for child in tree.children
        if isinstance(child, lark.Tree) and child.data == "outcome"
    }


def _detail(tree: lark.Tree, name: str) -> list[str]:
    return [
        str(token)
        for child in tree.children
        if isinstance(child, lark.Tree) and child.data == name
        for token in child.children
    ]


@scenario.step("expect_answer")
def _expect_answer(run: scenario.Scenario, tree: lark.Tree) -> None:
    label = str(tree.children[0])
    call = run.call(label)
    answer = call.answer
    if answer is None:
        raise run.error(f"{label} has {call.reply}", "run longer")
    reason = answer.reason.value if answer.reason else "no reason"
    description = (
        f"{label} is {answer.outcome.value} ({reason}, ran "
        f"{answer.ran.value}): {answer.detail}"
    )
    run.expect(answer.outcome.value in _outcomes(tree), description)
    because = _detail(tree, "because")
    run.expect(not because or reason in because, description)
    ran = _detail(tree, "ran")
    run.expect(not ran or answer.ran.value in ran, description)
    if any(_is_tree(child, "retry") for child in tree.children):
        run.expect(answer.retry_after_s is not None, description + ": no retry")
    for limit in _detail(tree, "answered_within"):
        duration_s = call.answered_at - call.sent_at
        run.expect(
            duration_s <= scenario.seconds(limit),
            f"{label} took {duration_s:.3f} s",
        )


def _is_tree(child: object, name: str) -> bool:
    return isinstance(child, lark.Tree) and child.data == name


@scenario.step("expect_unanswered")
def _expect_unanswered(run: scenario.Scenario, tree: lark.Tree) -> None:
    call = run.call(str(tree.children[0]))
    run.expect(call.reply is None, f"answered: {call.reply}")


@scenario.step("expect_same_id")
def _expect_same_id(run: scenario.Scenario, tree: lark.Tree) -> None:
    one, other = (
        run.submission(str(token).removeprefix("reserve-"))
        for token in tree.children
    )
    run.expect(one == other, f"{one} is not {other}")


def _expect_count(run: scenario.Scenario, tree: lark.Tree, found: int) -> None:
    comparison, expected = str(tree.children[-2]), int(tree.children[-1])
    run.expect(
        _COMPARISONS[comparison](found, expected),
        f"found {found}, not {comparison} {expected}",
    )


@scenario.step("expect_starts_of")
def _expect_starts_of(run: scenario.Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    call = run.call(name)
    payloads = set(call.payloads)
    starts = [s for s in run.world.starts if s.payload in payloads]
    _expect_count(run, tree, len(starts))


@scenario.step("expect_starts_at")
def _expect_starts_at(run: scenario.Scenario, tree: lark.Tree) -> None:
    name = run.upstream(str(tree.children[0])).entry.upstream
    starts = [s for s in run.world.starts if s.upstream == name]
    _expect_count(run, tree, len(starts))


@scenario.step("expect_starts_by")
def _expect_starts_by(run: scenario.Scenario, tree: lark.Tree) -> None:
    name = run.host(str(tree.children[0])).entry.host
    starts = [s for s in run.world.starts if s.host == name]
    _expect_count(run, tree, len(starts))


@scenario.step("expect_jobs")
def _expect_jobs(run: scenario.Scenario, tree: lark.Tree) -> None:
    prefix = str(tree.children[0]) + "-"
    outcomes = _outcomes(tree)
    found = [
        call
        for label, call in run.callers.calls.items()
        if label.startswith(prefix)
        and call.answer
        and call.answer.outcome.value in outcomes
    ]
    _expect_count(run, tree, len(found))


@scenario.step("expect_version")
def _expect_version(run: scenario.Scenario, tree: lark.Tree) -> None:
    version, workspace = int(tree.children[0]), str(tree.children[1])
    for name in scenario.names_of(tree.children[2]):
        configs = run.host(name).core.configs
        config = configs.get(ids.WorkspaceId(workspace))
        found = config.version if config else 0
        run.expect(found == version, f"{name} has version {found}")


def _config_reply(run: scenario.Scenario, label: str) -> actions.ReplyConfig:
    reply = run.call(label).reply
    if not isinstance(reply, actions.ReplyConfig):
        raise run.error(f"{label} has {reply}", "run longer")
    return reply


@scenario.step("expect_in_force")
def _expect_in_force(run: scenario.Scenario, tree: lark.Tree) -> None:
    reply = _config_reply(run, str(tree.children[0]))
    run.expect(bool(reply.recorded) and not reply.lagging, str(reply))


@scenario.step("expect_lagging")
def _expect_lagging(run: scenario.Scenario, tree: lark.Tree) -> None:
    reply = _config_reply(run, str(tree.children[0]))
    names = set(scenario.names_of(tree.children[1]))
    met = bool(reply.recorded) and set(reply.lagging) == names
    run.expect(met, str(reply))


@scenario.step("expect_conflict")
def _expect_conflict(run: scenario.Scenario, tree: lark.Tree) -> None:
    reply = _config_reply(run, str(tree.children[0]))
    version = reply.current.version if reply.current else 0
    met = reply.recorded is False and version == int(tree.children[1])
    run.expect(met, str(reply))


@scenario.step("expect_unrecorded")
def _expect_unrecorded(run: scenario.Scenario, tree: lark.Tree) -> None:
    reply = _config_reply(run, str(tree.children[0]))
    run.expect(not reply.recorded, str(reply))


@scenario.step("expect_host")
def _expect_host(run: scenario.Scenario, tree: lark.Tree) -> None:
    name, state = (str(token) for token in tree.children)
    host = run.host(name)
    met = {
        "ready": host.alive and host.core.ready,
        "unready": host.alive and not host.core.ready,
        "stopped": host.stopped,
        "alive": host.alive,
    }[state]
    run.expect(met, f"{name} is not {state}")


@scenario.step("expect_writes")
def _expect_writes(run: scenario.Scenario, tree: lark.Tree) -> None:
    _expect_count(run, tree, run.world.store.writes)


@scenario.step("expect_peak")
def _expect_peak(run: scenario.Scenario, tree: lark.Tree) -> None:
    _expect_count(run, tree, run.world.peak_running)
