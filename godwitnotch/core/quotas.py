"""Shares each workspace's quota of running tasks among the hosts.

A quarter of a quota is split evenly, so that a host starts tasks without
asking; the rest is lent where it is wanted. During a cut each side takes the
hosts that it reaches for all of them, so that each may run the whole quota.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from godwitnotch.core import credit_ledger
from godwitnotch.core import credit_state
from godwitnotch.core import ids
from godwitnotch.core import ledger_messages

# One part in so many of a quota is split evenly.
SPLIT_DIVISOR = 4
# Largest part of a quota that is asked for at once.
MAX_REQUEST_TASKS = 16


@dataclass(slots=True)
class _Quota:
    limit: int
    even_part: int
    credit: credit_state.Credit
    running: int = 0

    @property
    def room(self) -> int:
        """How many more tasks may run on this host."""
        even_room = self.even_part - (self.running - self.credit.in_use)
        return even_room + self.credit.free


class QuotaShares:
    """This host's part of all quotas."""

    def __init__(self, host: ids.HostId, domain: ids.DomainId) -> None:
        self._ledger = credit_ledger.CreditLedger(host, domain)
        self._quotas: dict[ids.WorkspaceId, _Quota] = {}
        self._host_count = 1

    @property
    def ledger(self) -> credit_ledger.CreditLedger:
        """The loans, for messages and deadlines."""
        return self._ledger

    def update_hosts(
        self, domains: Mapping[ids.HostId, ids.DomainId], *, now: float
    ) -> None:
        """Takes the linked hosts."""
        self._ledger.update_hosts(domains, now=now)
        self._host_count = len(domains) + 1
        for workspace, quota in self._quotas.items():
            self._resize(workspace, quota, quota.limit)

    def set_limit(
        self, workspace: ids.WorkspaceId, limit: int, *, now: float
    ) -> None:
        """Takes the quota of a workspace that has tasks here or at a peer."""
        quota = self._quotas.get(workspace)
        if quota is None:
            resource = ledger_messages.Resource(workspace, 0, None)
            credit = self._ledger.add(resource, now=now)
            quota = _Quota(0, 0, credit)
            self._quotas[workspace] = quota
        if quota.limit != limit:
            self._resize(workspace, quota, limit)

    def limit(self, workspace: ids.WorkspaceId) -> int:
        """Returns the quota of a workspace, over all hosts."""
        return self._quotas[workspace].limit

    def allowance(self, workspace: ids.WorkspaceId) -> int:
        """Returns how many tasks this host may count on running."""
        quota = self._quotas[workspace]
        fair_share = quota.limit // self._host_count
        return max(quota.running + quota.room, fair_share, 1)

    def may_run(self, workspace: ids.WorkspaceId) -> bool:
        """Returns whether one more task may run now."""
        return self._quotas[workspace].room > 0

    def task_started(self, workspace: ids.WorkspaceId) -> None:
        """Counts a task that starts; the base part is used up first."""
        quota = self._quotas[workspace]
        if quota.running - quota.credit.in_use >= quota.even_part:
            self._ledger.acquire(quota.credit)
        quota.running += 1

    def task_ended(self, workspace: ids.WorkspaceId, *, now: float) -> None:
        """Counts a task that ended; what was lent is freed first."""
        quota = self._quotas.get(workspace)
        if quota is None:
            return
        quota.running -= 1
        if quota.credit.in_use:
            self._ledger.release(quota.credit, now=now)

    def request(
        self, workspace: ids.WorkspaceId, tasks: int, *, now: float
    ) -> None:
        """Asks for room for more tasks."""
        credit = self._quotas[workspace].credit
        self._ledger.request_units(
            credit, min(tasks, MAX_REQUEST_TASKS), now=now
        )

    def take_changed(self) -> list[ids.WorkspaceId]:
        """Returns the workspaces whose part grew since the last call."""
        changed = sorted(self._ledger.changed)
        self._ledger.changed.clear()
        return [ids.WorkspaceId(each) for each in changed]

    def _resize(
        self, workspace: ids.WorkspaceId, quota: _Quota, limit: int
    ) -> None:
        quota.limit = limit
        quota.even_part = limit // (SPLIT_DIVISOR * self._host_count)
        lendable = limit - quota.even_part * self._host_count
        quota.credit.resource = ledger_messages.Resource(
            workspace, lendable, None
        )
        self._ledger.changed.add(workspace)
