"""Shares limited resources among hosts by loans.

A resource is the slots of an upstream or the quota of a workspace. Its units
are single slots or running tasks. A host's credit for a resource holds the
units that the host uses, borrows or lends. Each resource has one lender. The
lender is chosen by rendezvous hashing among the linked hosts of the resource's
domain, or among all linked hosts if none of that domain is linked.

The other hosts are borrowers. A borrower requests units from the lender, uses
them for its tasks, and returns units that it doesn't use. When another host
wants units and none are free, the lender recalls units from the borrower that
has most, down to a fair share. Before a new lender lends, it collects reports
of the units that borrowers hold.

Loans are soft state: while hosts disagree about the lender of a resource, two
lenders may together lend more than its capacity. The serials of loan updates
tell the lender whether a borrower's report was sent before or after the
borrower received the last update.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping

from godwitnotch.core import credit_state
from godwitnotch.core import ids
from godwitnotch.core import ledger_messages
from godwitnotch.core import lenders
from godwitnotch.core import token_bucket

# A request expires after this time and is repeated if units are still needed.
REQUEST_LIFETIME_S = 1.0
# A lender is expected to reply to a request within this time. Until then the
# requested units aren't requested from other lenders.
REPLY_TIMEOUT_S = 0.005
# A request is repeated when the pending request is for less than this share of
# the wanted units.
MIN_PENDING_SHARE = 0.1
# A request is repeated when `max_slowness` has risen by more than this, in the
# unit of `LoanUpdate.slowness`.
REPEAT_SLOWNESS_STEP = 30
# Borrowed units that stay unused for this time are returned.
IDLE_RETURN_S = 0.005
# A new lender collects reports of borrowers for this time before it lends.
COLLECT_REPORTS_S = 0.5
# Maximum time for which the loan of a host that is no longer linked is kept.
UNLINKED_LOAN_RETENTION_S = 2.0
# A borrower repeats its reports at this interval, in case a report was lost.
REPORT_INTERVAL_S = 10.0
# A loan expires if the borrower sends no report for this time.
LOAN_TIMEOUT_S = 35.0
# Expired loans, recalls and due reports are checked at this interval.
HOUSEKEEPING_INTERVAL_S = 0.1
# Rate limit of messages. A message takes some 20 bytes as CBOR.
MAX_MESSAGES_PER_S = 160.0
MESSAGE_BURST_COUNT = 600.0


class CreditLedger:
    """This host's credits for all upstreams or all workspaces.

    Args:
        host: Id of this host.
        domain: Failure domain of this host.

    Attributes:
        has_local_demand: Whether tasks of this host wait for units; set by the
            code that calls.
        changed: Keys of resources that may have more free units after a message
            or a timeout; cleared by the code that calls.
    """

    def __init__(self, host: ids.HostId, domain: ids.DomainId) -> None:
        self.has_local_demand = False
        self.changed: set[str] = set()
        # `_lender_requests` and the dicts named `..._at` or `..._until` are in
        # the order of their due times, since each entry is due a fixed time
        # after it is added.
        self._host = host
        self._lenders = lenders.Lenders(host, domain)
        self._credits: dict[str, credit_state.Credit] = {}
        self._lender_credits: dict[str, credit_state.Credit] = {}
        self._next_report_at: dict[str, float] = {}
        self._resource_request_expires_at: dict[str, float] = {}
        self._expected_count = 0
        self._resource_expected_until: dict[str, float] = {}
        self._lender_requests: dict[
            ids.HostId, credit_state.PendingRequest
        ] = {}
        self._lender_expected_until: dict[ids.HostId, float] = {}
        self._received_requests: dict[
            ids.HostId, credit_state.PendingRequest
        ] = {}
        self._unsent_requests: dict[ids.HostId, None] = {}
        self._idle_return_at: dict[str, float] = {}
        self._unsent_reports: dict[str, None] = {}
        self._unsent_updates: dict[tuple[str, ids.HostId], None] = {}
        self._message_bucket = token_bucket.TokenBucket(
            rate_per_s=MAX_MESSAGES_PER_S, burst=MESSAGE_BURST_COUNT
        )
        self._last_send_at = 0.0
        self._housekeeping_at = 0.0
        self._collecting = False

    @property
    def expected_count(self) -> int:
        """Number of requested units for which a reply is still expected."""
        return self._expected_count

    def credit(self, key: str) -> credit_state.Credit | None:
        """Returns this host's credit for a resource, or None if unknown."""
        return self._credits.get(key)

    def update_resources(
        self, resources: Iterable[ledger_messages.Resource], *, now: float
    ) -> None:
        """Replaces the resources, but keeps removed ones that are in use."""
        by_key = {each.key: each for each in resources}
        for key, credit in list(self._credits.items()):
            if key in by_key:
                credit.resource = by_key[key]
            elif not credit.in_use:
                self._remove(key)
        for key, resource in by_key.items():
            if key not in self._credits:
                self.add(resource, now=now)

    def add(
        self, resource: ledger_messages.Resource, *, now: float
    ) -> credit_state.Credit:
        """Adds a resource and returns this host's credit for it."""
        lender = self._lenders.choose(resource)
        credit = credit_state.Credit(resource, lender, lender == self._host)
        self._credits[resource.key] = credit
        if credit.is_lender:
            self._lender_credits[resource.key] = credit
            self._start_collecting(credit, now)
        return credit

    def update_hosts(
        self, domains: Mapping[ids.HostId, ids.DomainId], *, now: float
    ) -> None:
        """Sets the linked hosts and chooses the lenders again."""
        unlinked = self._lenders.update_hosts(domains)
        for host in unlinked:
            self._end_lender_request(host)
            self._received_requests.pop(host, None)
        for credit in self._credits.values():
            lender = self._lenders.choose(credit.resource)
            if lender != credit.lender:
                self._change_lender(credit, lender, now)
            for host in unlinked & credit.loans.keys():
                loan = credit.loans[host]
                loan.expires_at = min(
                    loan.expires_at, now + UNLINKED_LOAN_RETENTION_S
                )
                loan.wanted = 0

    def acquire(self, credit: credit_state.Credit) -> None:
        """Starts to use one unit; a unit must be free."""
        credit.in_use += 1
        self._idle_return_at.pop(credit.resource.key, None)

    def release(self, credit: credit_state.Credit, *, now: float) -> None:
        """Stops using one unit."""
        credit.in_use -= 1
        if credit.is_lender:
            if credit.loans or self._received_requests:
                self._lend_free(credit, now)
            return
        if (
            credit.recall_limit is not None
            and credit.held > credit.recall_limit
        ):
            credit.held -= 1
            self._unsent_reports[credit.resource.key] = None
        elif credit.free > 0:
            self._schedule_return(credit, now)

    def request_units(
        self, credit: credit_state.Credit, count: int, *, now: float
    ) -> None:
        """Requests units of one resource from its lender."""
        key = credit.resource.key
        if credit.is_lender or key in self._resource_request_expires_at:
            return
        credit.requested = count
        self._expected_count += count
        self._resource_request_expires_at[key] = now + REQUEST_LIFETIME_S
        self._resource_expected_until[key] = now + REPLY_TIMEOUT_S
        self._unsent_reports[key] = None

    def request_from_lender(
        self,
        lender: ids.HostId,
        message: ledger_messages.LoanRequest,
        *,
        now: float,
    ) -> None:
        """Requests units of any resources of one lender."""
        self._end_lender_request(lender)
        request = credit_state.PendingRequest(
            message.count, message.max_slowness, now + REQUEST_LIFETIME_S
        )
        self._lender_requests[lender] = request
        self._lender_expected_until[lender] = now + REPLY_TIMEOUT_S
        self._expected_count += message.count
        self._unsent_requests[lender] = None

    def has_similar_request(
        self, lender: ids.HostId, message: ledger_messages.LoanRequest
    ) -> bool:
        """Returns whether a pending request makes a new one unnecessary."""
        request = self._lender_requests.get(lender)
        return (
            request is not None
            and MIN_PENDING_SHARE * message.count <= request.count
            and request.max_slowness
            >= message.max_slowness - REPEAT_SLOWNESS_STEP
        )

    def handle_request(
        self,
        host: ids.HostId,
        message: ledger_messages.LoanRequest,
        keys: Iterable[str],
        *,
        now: float,
    ) -> None:
        """Handles a request for units of any resources that this host lends.

        Args:
            host: Host that sent the request.
            message: The request.
            keys: Resources in the order in which their units are lent.
            now: The current time.
        """
        request = credit_state.PendingRequest(
            message.count, message.max_slowness, now + REQUEST_LIFETIME_S
        )
        self._received_requests[host] = request
        for key in keys:
            credit = self._credits.get(key)
            if request.count > 0 and credit is not None and credit.is_lender:
                self._lend_free(credit, now)

    def handle_report(
        self,
        host: ids.HostId,
        message: ledger_messages.BorrowerReport,
        *,
        now: float,
    ) -> None:
        """Handles the report of a borrower."""
        credit = self._credits.get(message.key)
        if credit is None:
            return
        if not credit.is_lender and not message.wanted and not message.held:
            return
        loan = credit.loans.get(host)
        if loan is None:
            loan = credit_state.Loan(now + LOAN_TIMEOUT_S, allowed=message.held)
            loan.serial = message.serial
            credit.loans[host] = loan
        loan.expires_at = now + LOAN_TIMEOUT_S
        loan.acknowledged = message.serial == loan.serial
        reserved = message.held
        if not loan.acknowledged:
            reserved = max(reserved, loan.reserved)
            if credit.is_lender and now - loan.sent_at > REQUEST_LIFETIME_S:
                self._unsent_updates[message.key, host] = None
        credit.lent += reserved - loan.reserved
        loan.reserved = reserved
        loan.wanted = message.wanted
        loan.wanted_until = now + REQUEST_LIFETIME_S
        if credit.is_lender:
            self.changed.add(message.key)
            self._lend_free(credit, now)
        if not loan.reserved and not loan.wanted and loan.acknowledged:
            del credit.loans[host]

    def handle_update(
        self,
        host: ids.HostId,
        message: ledger_messages.LoanUpdate,
        *,
        now: float,
    ) -> None:
        """Handles a loan update of the lender."""
        credit = self._credits.get(message.key)
        if credit is None or credit.lender != host:
            return
        credit.serial = message.serial
        credit.slowness = message.slowness
        if message.allowed > credit.held:
            self._end_resource_request(message.key)
            self._subtract_lent(host, message.allowed - credit.held)
            credit.held = message.allowed
            credit.recall_limit = None
            self._next_report_at.setdefault(
                message.key, now + REPORT_INTERVAL_S
            )
            self.changed.add(message.key)
            self._schedule_return(credit, now)
        else:
            credit.recall_limit = message.allowed
            credit.held = max(message.allowed, credit.in_use)
            self._unsent_reports[message.key] = None

    def advance(self, *, now: float) -> None:
        """Handles timeouts that are due."""
        while self._idle_return_at:
            key, due_at = next(iter(self._idle_return_at.items()))
            if due_at > now:
                break
            self._return_all_idle(self._credits[key].lender)
        while self._resource_expected_until:
            key, due_at = next(iter(self._resource_expected_until.items()))
            if due_at > now:
                break
            self._stop_expecting(key)
        while self._resource_request_expires_at:
            key, due_at = next(iter(self._resource_request_expires_at.items()))
            if due_at > now:
                break
            self._end_resource_request(key)
        while self._lender_expected_until:
            lender, due_at = next(iter(self._lender_expected_until.items()))
            if due_at > now:
                break
            del self._lender_expected_until[lender]
            self._expected_count -= self._lender_requests[lender].count
        while self._lender_requests:
            lender, request = next(iter(self._lender_requests.items()))
            if request.expires_at > now:
                break
            self._end_lender_request(lender)
        if now >= self._housekeeping_at:
            self._housekeeping_at = now + HOUSEKEEPING_INTERVAL_S
            self._do_housekeeping(now)

    def outgoing(self, *, now: float) -> list[ledger_messages.OutgoingMessage]:
        """Returns the messages to send now, within the rate limit."""
        if not (
            self._unsent_reports
            or self._unsent_updates
            or self._unsent_requests
        ):
            return []
        self._last_send_at = now
        messages: list[ledger_messages.OutgoingMessage] = []
        while self._unsent_updates and self._message_bucket.has_token(now=now):
            key, host = next(iter(self._unsent_updates))
            del self._unsent_updates[key, host]
            self._send_update(self._credits.get(key), host, messages, now)
        while self._unsent_requests and self._message_bucket.has_token(now=now):
            lender = next(iter(self._unsent_requests))
            del self._unsent_requests[lender]
            request = self._lender_requests.get(lender)
            if request is not None:
                self._message_bucket.take(now=now)
                message = ledger_messages.LoanRequest(
                    request.count, request.max_slowness
                )
                messages.append(
                    ledger_messages.OutgoingMessage(lender, message)
                )
        while self._unsent_reports and self._message_bucket.has_token(now=now):
            key = next(iter(self._unsent_reports))
            del self._unsent_reports[key]
            self._send_report(self._credits.get(key), messages, now)
        return messages

    def next_deadline(self) -> float | None:
        """Returns when `advance` or `outgoing` must be called next."""
        earliest = math.inf
        for due in (
            self._idle_return_at,
            self._resource_expected_until,
            self._lender_expected_until,
            self._resource_request_expires_at,
        ):
            if due:
                earliest = min(earliest, next(iter(due.values())))
        if self._lender_requests:
            expires_at = next(iter(self._lender_requests.values())).expires_at
            earliest = min(earliest, expires_at)
        if (
            self._unsent_reports
            or self._unsent_updates
            or self._unsent_requests
        ):
            due_at = self._last_send_at + 1.5 / MAX_MESSAGES_PER_S
            earliest = min(earliest, due_at)
        if self._collecting or self.has_local_demand:
            earliest = min(earliest, self._housekeeping_at)
        return None if earliest == math.inf else earliest

    def _change_lender(
        self, credit: credit_state.Credit, lender: ids.HostId, now: float
    ) -> None:
        """Makes another host, or this one, the lender of a resource."""
        was_lender, credit.is_lender = credit.is_lender, lender == self._host
        credit.lender = lender
        self._end_resource_request(credit.resource.key)
        self._idle_return_at.pop(credit.resource.key, None)
        credit.held = credit.in_use
        credit.recall_limit = None
        credit.serial = 0
        if credit.is_lender:
            self._lender_credits[credit.resource.key] = credit
            self._start_collecting(credit, now)
            return
        if was_lender:
            del self._lender_credits[credit.resource.key]
            credit.loans.clear()
            credit.lent = 0
        if credit.held:
            self._next_report_at.setdefault(
                credit.resource.key, now + REPORT_INTERVAL_S
            )
            self._unsent_reports[credit.resource.key] = None

    def _subtract_lent(self, lender: ids.HostId, count: int) -> None:
        """Subtracts lent units from the pending request to a lender."""
        request = self._lender_requests.get(lender)
        if request is None:
            return
        count = min(count, request.count)
        request.count -= count
        if lender in self._lender_expected_until:
            self._expected_count -= count
        if not request.count:
            self._end_lender_request(lender)

    def _end_lender_request(self, lender: ids.HostId) -> None:
        """Ends the pending request to a lender, if there is one."""
        request = self._lender_requests.pop(lender, None)
        if (
            self._lender_expected_until.pop(lender, None) is not None
            and request
        ):
            self._expected_count -= request.count

    def _start_collecting(
        self, credit: credit_state.Credit, now: float
    ) -> None:
        """Starts to collect borrowers' reports, if any host is linked."""
        if len(self._lenders) > 1:
            credit.collecting = self._collecting = True
            credit.collect_until = now + COLLECT_REPORTS_S

    def _remove(self, key: str) -> None:
        """Removes a resource."""
        self._end_resource_request(key)
        self._idle_return_at.pop(key, None)
        self._unsent_reports.pop(key, None)
        self._lenders.forget(key)
        self._lender_credits.pop(key, None)
        self._next_report_at.pop(key, None)
        del self._credits[key]

    def _end_resource_request(self, key: str) -> None:
        """Ends the pending request for a resource, if any."""
        self._stop_expecting(key)
        if self._resource_request_expires_at.pop(key, None) is not None:
            self._credits[key].requested = 0

    def _stop_expecting(self, key: str) -> None:
        """Stops expecting a reply to the request for a resource."""
        if self._resource_expected_until.pop(key, None) is not None:
            self._expected_count -= self._credits[key].requested

    def _schedule_return(self, credit: credit_state.Credit, now: float) -> None:
        """Schedules the return of units that stay unused."""
        key = credit.resource.key
        if key not in self._idle_return_at:
            self._idle_return_at[key] = now + IDLE_RETURN_S

    def _return_all_idle(self, lender: ids.HostId) -> None:
        """Gives all unused units of a lender back, in reports sent together."""
        keys = [
            key
            for key in self._idle_return_at
            if self._credits[key].lender == lender
        ]
        for key in keys:
            del self._idle_return_at[key]
            self._return_idle(self._credits[key])

    def _return_idle(self, credit: credit_state.Credit) -> None:
        """Gives the unused units of a resource back to its lender."""
        if not credit.is_lender and credit.held > credit.in_use:
            credit.held = credit.in_use
            self._unsent_reports[credit.resource.key] = None

    def _lend_free(self, credit: credit_state.Credit, now: float) -> None:
        """Lends free units, each to the borrower with the fewest units."""
        while not credit.collecting and credit.free > 0:
            host = self._next_borrower(credit, now)
            if host is None:
                return
            loan = credit.loans.get(host)
            if loan is None:
                loan = credit.loans[host] = credit_state.Loan(
                    now + LOAN_TIMEOUT_S
                )
            # While tasks of this host wait, no borrower gets more units than
            # this host uses.
            if self.has_local_demand and loan.reserved >= credit.in_use:
                return
            if not loan.unmet(now):
                self._received_requests[host].count -= 1
            loan.reserved += 1
            loan.allowed = loan.reserved
            credit.lent += 1
            self._queue_update(credit, host, loan)

    def _next_borrower(
        self, credit: credit_state.Credit, now: float
    ) -> ids.HostId | None:
        """Returns the host with the fewest units among those that want more."""
        wanting = [
            host for host, loan in credit.loans.items() if loan.unmet(now)
        ]
        for host, request in list(self._received_requests.items()):
            if request.expires_at <= now or request.count <= 0:
                del self._received_requests[host]
            elif credit.slowness <= request.max_slowness:
                wanting.append(host)
        if not wanting:
            return None
        if len(wanting) == 1:
            return wanting[0]
        return min(
            wanting, key=lambda host: self._borrower_sort_key(credit, host)
        )

    def _borrower_sort_key(
        self, credit: credit_state.Credit, host: ids.HostId
    ) -> tuple[int, int]:
        # The hash breaks ties differently for each resource, so that no host
        # comes last for all of them.
        loan = credit.loans.get(host)
        reserved = loan.reserved if loan else 0
        return reserved, self._lenders.score(credit.resource.key, host)

    def _queue_update(
        self,
        credit: credit_state.Credit,
        host: ids.HostId,
        loan: credit_state.Loan,
    ) -> None:
        """Queues an update about a changed loan."""
        if (credit.resource.key, host) not in self._unsent_updates:
            loan.serial += 1
            loan.acknowledged = False
            self._unsent_updates[credit.resource.key, host] = None

    def _recall_excess(self, credit: credit_state.Credit, now: float) -> None:
        """Recalls units above a fair share from the borrower that has most."""
        wanting = [each for each in credit.loans.values() if each.unmet(now)]
        demand_count = len(wanting) + self.has_local_demand
        if not demand_count or not credit.loans:
            return
        host, loan = max(
            credit.loans.items(), key=lambda item: item[1].reserved
        )
        smallest = min(
            (each.reserved for each in wanting), default=credit.in_use
        )
        if self.has_local_demand:
            smallest = min(smallest, credit.in_use)
        sharing_count = sum(
            each.reserved > 0 or each.unmet(now) > 0
            for each in credit.loans.values()
        )
        fair_share = -(
            -credit.resource.capacity // (sharing_count + self.has_local_demand)
        )
        if not loan.acknowledged or loan.reserved <= max(
            fair_share, smallest + 1
        ):
            return
        loan.allowed = fair_share
        self._queue_update(credit, host, loan)

    def _do_housekeeping(self, now: float) -> None:
        """Checks loans and queues the reports that are due."""
        self._collecting = False
        for key, credit in self._lender_credits.items():
            self._check_loans(key, credit, now)
        while self._next_report_at:
            key, due_at = next(iter(self._next_report_at.items()))
            if due_at > now:
                break
            del self._next_report_at[key]
            credit = self._credits[key]
            if credit.held and not credit.is_lender:
                self._next_report_at[key] = now + REPORT_INTERVAL_S
                self._unsent_reports[key] = None

    def _check_loans(
        self, key: str, credit: credit_state.Credit, now: float
    ) -> None:
        """Ends the collection, expires loans and recalls units if due."""
        if credit.collecting:
            credit.collecting = credit.collect_until > now
            self._collecting |= credit.collecting
            if not credit.collecting:
                self.changed.add(key)
                self._lend_free(credit, now)
        if not credit.loans:
            return
        expired = [
            h for h, loan in credit.loans.items() if loan.expires_at <= now
        ]
        for host in expired:
            credit.lent -= credit.loans.pop(host).reserved
            self.changed.add(key)
        if credit.free <= 0:
            self._recall_excess(credit, now)

    def _send_update(
        self,
        credit: credit_state.Credit | None,
        host: ids.HostId,
        messages: list[ledger_messages.OutgoingMessage],
        now: float,
    ) -> None:
        """Adds the update of a loan to the messages to send."""
        loan = credit.loans.get(host) if credit else None
        if credit is None or loan is None or host not in self._lenders:
            return
        loan.sent_at = now
        key = credit.resource.key
        self._message_bucket.take(now=now)
        messages.append(
            ledger_messages.OutgoingMessage(
                host,
                ledger_messages.LoanUpdate(
                    key, loan.allowed, loan.serial, credit.slowness
                ),
            )
        )

    def _send_report(
        self,
        credit: credit_state.Credit | None,
        messages: list[ledger_messages.OutgoingMessage],
        now: float,
    ) -> None:
        """Adds the report about a resource to the messages to send."""
        if credit is None or credit.is_lender:
            return
        wanted = credit.held + credit.requested
        message = ledger_messages.BorrowerReport(
            credit.resource.key, credit.held, wanted, credit.serial
        )
        self._message_bucket.take(now=now)
        messages.append(ledger_messages.OutgoingMessage(credit.lender, message))
