"""Random histories of losses, checked against what must always hold.

The naive model: a task has at most one run at a time, a run that no live host
wants ends within a bound, every caller is answered once and by its deadline,
and "refused" means that nothing of the job has started. `make leased-histories`
tries more of them.
"""

import os
import random
import unittest

from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from tests import leased_world

HISTORIES = int(os.environ.get("LEASED_HISTORIES", "40"))
SEED = int(os.environ.get("LEASED_SEED", "1"))
DOMAINS = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2"], "c": ["c1", "c2"]}
LENGTH_S = 12.0
STEP_S = 0.05
# Wake of the last loss, takeover, lease, and the stops after it.
SETTLE_S = 12.0
# How late an answer may be after its caller's deadline.
ANSWER_SLACK_S = 0.1


class History:
    """One random history."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.world = leased_world.World(DOMAINS, upstreams=3)
        # As if the hosts had run for long: they know what left the list.
        for core in self.world.hosts.values():
            core._listing._started_at -= 60.0
        self.asked: dict[int, tuple[str, str, float]] = {}
        self.jobs = 0

    def play(self) -> None:
        """Plays traffic and losses, then lets all come back."""
        world = self.world
        world.run(1.0)
        end = world.now + LENGTH_S
        while world.now < end:
            self.ask()
            if self.chance.random() < 0.06:
                self.lose()
            world.run(self.chance.random() * 2 * STEP_S)
        for name in tuple(world.dead):
            world.boot(name, rank=self.chance.randrange(10))
        for upstream in world.upstreams.values():
            upstream.hangs = False
            upstream.fails = False
            upstream.late_s = 0.0
            upstream.loses_answers = False
        world.heal(gap_s=self.chance.choice((0.0, 0.01, 0.03)))
        world.run(SETTLE_S)

    def ask(self) -> None:
        """Sends a job, sometimes one that was sent before."""
        world = self.world
        alive = [
            name
            for name in world.hosts
            if name not in world.dead
            and world.now >= world.frozen.get(name, 0.0)
        ]
        if not alive:
            return
        world.work_ms = self.chance.choice((60.0, 200.0, 900.0))
        self.jobs += 1
        job = f"job{self.jobs}"
        name = self.chance.choice(alive)
        wait_s = self.chance.choice((0.5, 1.5, 3.0))
        tasks = self.chance.choice((1, 2, 4))
        call = world.ask(name, job, tasks=tasks, wait_s=wait_s)
        self.asked[call] = (name, job, world.now + wait_s)
        if self.chance.random() < 0.1:
            event = events.CallerLeft(call)
            world.at(
                self.chance.random(), lambda: self.leave(name, call, event)
            )

    def leave(self, name: str, call: int, event: events.CallerLeft) -> None:
        """Lets a caller go that wasn't answered."""
        if call not in self.world.answers:
            self.asked.pop(call, None)
            self.world.feed(name, event)

    def lose(self) -> None:
        """Lets something fail."""
        kinds = [
            self.kill,
            self.kill,
            self.kill_all,
            self.cut,
            self.cut_domain,
            self.heal,
            self.heal,
            self.break_link,
            self.freeze,
            self.crash,
            self.spoil,
            self.spoil,
            self.relist,
        ]
        self.chance.choice(kinds)()

    def kill(self) -> None:
        """Kills a host, often the leader, and starts it again."""
        world = self.world
        alive = [name for name in world.hosts if name not in world.dead]
        if not alive:
            return
        leaders = world.leaders()
        if leaders and self.chance.random() < 0.5:
            alive = leaders
        self.restart([self.chance.choice(alive)])

    def kill_all(self) -> None:
        """Kills all hosts."""
        self.restart([n for n in self.world.hosts if n not in self.world.dead])

    def restart(self, names: list[str]) -> None:
        """Kills hosts; each comes back after a while."""
        for name in names:
            self.world.kill(name)
            self.asked = {
                call: asked
                for call, asked in self.asked.items()
                if asked[0] != name or call in self.world.answers
            }
            delay_s = 0.3 + self.chance.random()
            self.world.at(delay_s, lambda name=name: self.back(name))

    def back(self, name: str) -> None:
        """Starts a host that was killed."""
        world = self.world
        if name not in world.dead:
            return
        world.frozen.pop(name, None)
        world.boot(name, rank=self.chance.randrange(10))
        world.at(0.05, world.link_all)

    def cut(self) -> None:
        """Cuts one host off from all other hosts."""
        name = self.chance.choice(sorted(self.world.hosts))
        self.world.part({name}, {*self.world.hosts} - {name})

    def cut_domain(self) -> None:
        """Cuts a failure domain off."""
        world = self.world
        domain = self.chance.choice(sorted(DOMAINS))
        inside = {
            *(name for name in world.domains if world.domains[name] == domain),
            *(key for key in world.upstreams if key.startswith(f"{domain}-")),
        }
        world.part(inside, {*world.domains, *world.upstreams} - inside)

    def heal(self) -> None:
        """Ends all cuts."""
        self.world.heal(gap_s=self.chance.choice((0.0, 0.007, 0.02)))

    def break_link(self) -> None:
        """Resets a link."""
        one, other = self.chance.sample(sorted(self.world.hosts), 2)
        self.world.break_link(one, other)

    def freeze(self) -> None:
        """Lets a host stand still."""
        world = self.world
        names = world.leaders() or sorted(world.hosts)
        name = self.chance.choice(names)
        if name not in world.dead:
            world.freeze(name, 0.2 + 3 * self.chance.random())

    def crash(self) -> None:
        """Restarts an upstream."""
        self.world.crash_upstream(
            self.chance.choice(sorted(self.world.upstreams))
        )

    def spoil(self) -> None:
        """Lets an upstream do wrong for a while."""
        key = self.chance.choice(sorted(self.world.upstreams))
        upstream = self.world.upstreams[key]
        fault = self.chance.choice(
            ("hangs", "fails", "late_s", "loses_answers")
        )
        setattr(upstream, fault, 2.0 if fault == "late_s" else True)
        length_s = 0.3 + 2 * self.chance.random()
        self.world.at(
            length_s,
            lambda: setattr(
                upstream, fault, 0.0 if fault == "late_s" else False
            ),
        )

    def relist(self) -> None:
        """Lets some upstreams drop out of the list for a while."""
        world = self.world
        world.unlisted = frozenset(
            self.chance.sample(sorted(world.upstreams), 3)
        )
        world.at(1.5, lambda: setattr(world, "unlisted", frozenset()))

    def problems(self) -> list[str]:
        """Returns what doesn't hold."""
        world = self.world
        found = [f"twice {task}" for task in world.overlaps()]
        for call, (name, job, deadline) in self.asked.items():
            if call not in world.answers:
                found.append(f"unanswered {job} at {name}")
                continue
            at, answer = world.answers[call]
            late_s = at - deadline
            froze = any(
                frozen == name and until > deadline
                for frozen, until in world.freezes
            )
            if late_s > ANSWER_SLACK_S and not froze:
                found.append(f"late {job} by {late_s:.2f}")
            if answer.end is model.JobEnd.REFUSED and world.starts(job):
                found.append(f"refused though started {job}")
        for key, run in world.history:
            if run.ended_at is None:
                found.append(f"never ended {run.key} at {key}")
        if len(world.leaders()) != 1:
            found.append(f"leaders {world.leaders()}")
        elif world.hosts[world.leaders()[0]].held_upstreams != len(
            world.upstreams
        ):
            held = world.hosts[world.leaders()[0]].held_upstreams
            found.append(f"held {held} of {len(world.upstreams)}")
        return found


# Seeds that once failed: upstreams that had seen the term of a leader now gone
# were never held again.
FAILED_SEEDS = (5186, 5252)


class HistoriesTest(unittest.TestCase):
    def test_histories_that_once_failed(self) -> None:
        for seed in FAILED_SEEDS:
            with self.subTest(seed=seed):
                history = History(seed)
                history.play()
                self.assertEqual(history.problems(), [])

    def test_random_histories(self) -> None:
        starts = 0
        for seed in range(SEED, SEED + HISTORIES):
            with self.subTest(seed=seed):
                history = History(seed)
                history.play()
                starts += len(history.world.history)
                self.assertEqual(history.problems(), [])
        print(f"histories={HISTORIES} first_seed={SEED} starts={starts}")


if __name__ == "__main__":
    unittest.main()
