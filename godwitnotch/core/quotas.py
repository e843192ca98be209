"""Shares the quota of running tasks of each workspace among the hosts.

A quarter of a quota is split evenly, so that a host can start tasks without a
request to another host. The rest is lent to the hosts that request it. During a
network partition each side counts only the hosts that it reaches, so each side
may run as many tasks as the whole quota allows.
"""

from collections.abc import Mapping

import msgspec

from godwitnotch.core import credit_ledger
from godwitnotch.core import credit_state
from godwitnotch.core import ids
from godwitnotch.core import ledger_messages

# The quota divided by this number is split evenly among the hosts.
EVEN_SPLIT_DIVISOR = 4
# Maximum number of tasks in a request for quota.
MAX_REQUEST_TASKS = 16


class _Quota(msgspec.Struct):
    """The quota of one workspace and this host's use of the quota.

    Attributes:
        limit: The whole quota, over all hosts.
        even_part: Number of tasks that each host may run without a loan.
        credit: This host's credit for the rest of the quota, which is lent.
        running_count: Number of tasks of the workspace that this host runs.
    """

    limit: int
    even_part: int
    credit: credit_state.Credit
    running_count: int = 0

    @property
    def room(self) -> int:
        """Number of further tasks that this host may start now."""
        even_room = self.even_part - (self.running_count - self.credit.in_use)
        return even_room + self.credit.free


class QuotaShares:
    """The quotas of all workspaces and this host's use of them.

    Args:
        host: Id of this host.
        domain: Failure domain of this host.
    """

    def __init__(self, host: ids.HostId, domain: ids.DomainId) -> None:
        self._ledger = credit_ledger.CreditLedger(host, domain)
        self._quotas: dict[ids.WorkspaceId, _Quota] = {}
        self._host_count = 1

    @property
    def ledger(self) -> credit_ledger.CreditLedger:
        """The ledger that lends quotas; the code that calls advances it."""
        return self._ledger

    def update_hosts(
        self, domains: Mapping[ids.HostId, ids.DomainId], *, now: float
    ) -> None:
        """Sets the linked hosts."""
        self._ledger.update_hosts(domains, now=now)
        self._host_count = len(domains) + 1
        for workspace, quota in self._quotas.items():
            self._resize(workspace, quota, quota.limit)

    def set_limit(
        self, workspace: ids.WorkspaceId, limit: int, *, now: float
    ) -> None:
        """Sets the whole quota of a workspace."""
        quota = self._quotas.get(workspace)
        if quota is None:
            resource = ledger_messages.Resource(workspace, 0, None)
            credit = self._ledger.add(resource, now=now)
            quota = _Quota(0, 0, credit)
            self._quotas[workspace] = quota
        if quota.limit != limit:
            self._resize(workspace, quota, limit)

    def limit(self, workspace: ids.WorkspaceId) -> int:
        """Returns the whole quota of a workspace, over all hosts."""
        return self._quotas[workspace].limit

    def allowance(self, workspace: ids.WorkspaceId) -> int:
        """Returns how many tasks this host can expect to run at once."""
        quota = self._quotas[workspace]
        fair_share = quota.limit // self._host_count
        return max(quota.running_count + quota.room, fair_share, 1)

    def may_run(self, workspace: ids.WorkspaceId) -> bool:
        """Returns whether one more task of a workspace may run now."""
        return self._quotas[workspace].room > 0

    def task_started(self, workspace: ids.WorkspaceId) -> None:
        """Counts a started task; uses the even part first, then the credit."""
        quota = self._quotas[workspace]
        if quota.running_count - quota.credit.in_use >= quota.even_part:
            self._ledger.acquire(quota.credit)
        quota.running_count += 1

    def task_ended(self, workspace: ids.WorkspaceId, *, now: float) -> None:
        """Counts an ended task; frees units of the credit first."""
        quota = self._quotas.get(workspace)
        if quota is None:
            return
        quota.running_count -= 1
        if quota.credit.in_use:
            self._ledger.release(quota.credit, now=now)

    def request(
        self, workspace: ids.WorkspaceId, task_count: int, *, now: float
    ) -> None:
        """Requests quota for more tasks."""
        credit = self._quotas[workspace].credit
        self._ledger.request_units(
            credit, min(task_count, MAX_REQUEST_TASKS), now=now
        )

    def take_changed(self) -> list[ids.WorkspaceId]:
        """Returns workspaces that may have gained room since the last call."""
        changed = sorted(self._ledger.changed)
        self._ledger.changed.clear()
        return [ids.WorkspaceId(each) for each in changed]

    def _resize(
        self, workspace: ids.WorkspaceId, quota: _Quota, limit: int
    ) -> None:
        """Splits a quota into the even parts and the rest, which is lent."""
        quota.limit = limit
        quota.even_part = limit // (EVEN_SPLIT_DIVISOR * self._host_count)
        lendable = limit - quota.even_part * self._host_count
        quota.credit.resource = ledger_messages.Resource(
            workspace, lendable, None
        )
        self._ledger.changed.add(workspace)
