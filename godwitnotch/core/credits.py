"""Shares what is limited among hosts: one holder lends to the others.

Each resource (the slots of an upstream, the quota of a workspace) has one
holder, chosen by rendezvous hashing over the linked hosts, of the resource's
domain while any lives there. The others ask the holder for some more than
they have, use what was lent as long as they have work, and give it back when
it lies idle. When others go short, the holder asks back what exceeds a fair
part. A new holder first gathers what the others say that they hold.

Loans are soft state: two views of who is the holder may together lend too
much until they agree. Serials tell a holder whether a borrower's message was
sent before or after it saw the last change of its loan.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping

from godwitnotch.core import credit_state
from godwitnotch.core import credit_words
from godwitnotch.core import holders
from godwitnotch.core import ids
from godwitnotch.core import token_bucket

# How long a request stands; it is asked anew if still needed.
ASK_S = 1.0
# How long an answer may take; until then what was asked for is counted on.
ANSWER_S = 0.005
# A request is repeated once less than this share of it stands.
COVERED_SHARE = 0.1
# A request is repeated once a resource slower by so much would be of use.
SLOWNESS_STEP = 30
# How long a lent part may lie idle before it is given back.
IDLE_S = 0.005
# How long a new holder gathers before it lends.
GATHER_S = 0.5
# How long the loan of a host that is no longer linked is kept.
GRACE_S = 2.0
# How often a borrower repeats what it holds, so that lost messages heal.
REFRESH_S = 10.0
# A loan that was not heard of for so long is void.
LOAN_S = 35.0
# How often the slow work of the ledger is done.
TICK_S = 0.1
# Bound of messages; a message takes some 20 bytes as CBOR.
MESSAGES_PER_S = 160.0
MESSAGE_BURST = 600.0


class CreditLedger:
    """This host's view of all resources of one kind.

    Attributes:
        hungry: Whether this host itself goes short.
        changed: Resources whose free part grew by a message or by time.
    """

    def __init__(self, host: ids.HostId, domain: ids.DomainId) -> None:
        self.hungry = False
        self.changed: set[str] = set()
        self._host = host
        self._holders = holders.Holders(host, domain)
        self._credits: dict[str, credit_state.Credit] = {}
        self._mine: dict[str, credit_state.Credit] = {}
        self._refresh: dict[str, float] = {}
        self._asks: dict[str, float] = {}
        self._asked = 0
        self._counted: dict[str, float] = {}
        self._requests: dict[ids.HostId, credit_state.Request] = {}
        self._unanswered: dict[ids.HostId, float] = {}
        self._requested: dict[ids.HostId, credit_state.Request] = {}
        self._dirty_requests: dict[ids.HostId, None] = {}
        self._idle: dict[str, float] = {}
        self._dirty: dict[str, None] = {}
        self._dirty_loans: dict[tuple[str, ids.HostId], None] = {}
        self._pace = token_bucket.TokenBucket(
            rate_per_s=MESSAGES_PER_S, burst=MESSAGE_BURST
        )
        self._looked_at = 0.0
        self._tick_at = 0.0
        self._gathering = False

    @property
    def asked(self) -> int:
        """How much this host has asked for and can count on."""
        return self._asked

    def credit(self, key: str) -> credit_state.Credit | None:
        """Returns this host's part of a resource."""
        return self._credits.get(key)

    def resources_seen(
        self, resources: Iterable[credit_words.Resource], *, now: float
    ) -> None:
        """Takes a newer list of resources; one in use is never dropped."""
        seen = {each.key: each for each in resources}
        for key, credit in list(self._credits.items()):
            if key in seen:
                credit.resource = seen[key]
            elif not credit.in_use:
                self._drop(key)
        for key, resource in seen.items():
            if key not in self._credits:
                self.add(resource, now=now)

    def add(
        self, resource: credit_words.Resource, *, now: float
    ) -> credit_state.Credit:
        """Takes in one resource."""
        holder = self._holders.choose(resource)
        credit = credit_state.Credit(resource, holder, holder == self._host)
        self._credits[resource.key] = credit
        if credit.mine:
            self._mine[resource.key] = credit
            self._gather(credit, now)
        return credit

    def hosts_seen(
        self, domains: Mapping[ids.HostId, ids.DomainId], *, now: float
    ) -> None:
        """Takes the linked hosts, and lets holders move accordingly."""
        gone = self._holders.hosts_seen(domains)
        for host in gone:
            self._drop_request(host)
            self._requested.pop(host, None)
        for credit in self._credits.values():
            holder = self._holders.choose(credit.resource)
            if holder != credit.holder:
                self._move(credit, holder, now)
            for host in gone & credit.loans.keys():
                loan = credit.loans[host]
                loan.void_at = min(loan.void_at, now + GRACE_S)
                loan.wanted = 0

    def take(self, credit: credit_state.Credit) -> None:
        """Uses one; the caller has seen that one is free."""
        credit.in_use += 1
        self._idle.pop(credit.resource.key, None)

    def put(self, credit: credit_state.Credit, *, now: float) -> None:
        """Stops using one."""
        credit.in_use -= 1
        if credit.mine:
            if credit.loans or self._requested:
                self._serve(credit, now)
            return
        if credit.ceiling is not None and credit.held > credit.ceiling:
            credit.held -= 1
            self._dirty[credit.resource.key] = None
        elif credit.free > 0:
            self._note_idle(credit, now)

    def ask(
        self, credit: credit_state.Credit, count: int, *, now: float
    ) -> None:
        """Asks the holder for more than this host has."""
        key = credit.resource.key
        if credit.mine or key in self._asks:
            return
        credit.asked = count
        self._asked += count
        self._asks[key] = now + ASK_S
        self._counted[key] = now + ANSWER_S
        self._dirty[key] = None

    def ask_holder(
        self, holder: ids.HostId, asked: credit_words.Asked, *, now: float
    ) -> None:
        """Asks a holder for some of any of its resources."""
        self._drop_request(holder)
        request = credit_state.Request(asked.count, asked.slowest, now + ASK_S)
        self._requests[holder] = request
        self._unanswered[holder] = now + ANSWER_S
        self._asked += asked.count
        self._dirty_requests[holder] = None

    def covers(self, holder: ids.HostId, asked: credit_words.Asked) -> bool:
        """Returns whether a standing request asks for nearly as much."""
        request = self._requests.get(holder)
        return (
            request is not None
            and COVERED_SHARE * asked.count <= request.count
            and request.slowest >= asked.slowest - SLOWNESS_STEP
        )

    def asked_of_me(
        self,
        host: ids.HostId,
        message: credit_words.Asked,
        order: Iterable[str],
        *,
        now: float,
    ) -> None:
        """Takes a request; what this host holds is lent in the given order."""
        request = credit_state.Request(
            message.count, message.slowest, now + ASK_S
        )
        self._requested[host] = request
        for key in order:
            credit = self._credits.get(key)
            if request.count > 0 and credit is not None and credit.mine:
                self._serve(credit, now)

    def wanted(
        self, host: ids.HostId, message: credit_words.Wanted, *, now: float
    ) -> None:
        """Takes a borrower's word."""
        credit = self._credits.get(message.key)
        if credit is None:
            return
        if not credit.mine and not message.wanted and not message.held:
            return
        loan = credit.loans.get(host)
        if loan is None:
            loan = credit_state.Loan(now + LOAN_S, allowed=message.held)
            loan.serial = message.serial
            credit.loans[host] = loan
        loan.void_at = now + LOAN_S
        loan.seen = message.serial == loan.serial
        reserved = message.held
        if not loan.seen:
            reserved = max(reserved, loan.reserved)
            if credit.mine and now - loan.told_at > ASK_S:
                self._dirty_loans[message.key, host] = None
        credit.lent += reserved - loan.reserved
        loan.reserved = reserved
        loan.wanted = message.wanted
        loan.wanted_until = now + ASK_S
        if credit.mine:
            self.changed.add(message.key)
            self._serve(credit, now)
        if not loan.reserved and not loan.wanted and loan.seen:
            del credit.loans[host]

    def lent(
        self, host: ids.HostId, message: credit_words.Lent, *, now: float
    ) -> None:
        """Takes the holder's word."""
        credit = self._credits.get(message.key)
        if credit is None or credit.holder != host:
            return
        credit.serial = message.serial
        credit.slowness = message.slowness
        if message.allowed > credit.held:
            self._end_ask(message.key)
            self._answered(host, message.allowed - credit.held)
            credit.held = message.allowed
            credit.ceiling = None
            self._refresh.setdefault(message.key, now + REFRESH_S)
            self.changed.add(message.key)
            self._note_idle(credit, now)
        else:
            credit.ceiling = message.allowed
            credit.held = max(message.allowed, credit.in_use)
            self._dirty[message.key] = None

    def advance(self, *, now: float) -> None:
        """Does what fell due."""
        while self._idle:
            key, at = next(iter(self._idle.items()))
            if at > now:
                break
            self._give_back_to(self._credits[key].holder)
        while self._counted:
            key, at = next(iter(self._counted.items()))
            if at > now:
                break
            self._count_off(key)
        while self._asks:
            key, at = next(iter(self._asks.items()))
            if at > now:
                break
            self._end_ask(key)
        while self._unanswered:
            holder, at = next(iter(self._unanswered.items()))
            if at > now:
                break
            del self._unanswered[holder]
            self._asked -= self._requests[holder].count
        while self._requests:
            holder, request = next(iter(self._requests.items()))
            if request.until > now:
                break
            self._drop_request(holder)
        if now >= self._tick_at:
            self._tick_at = now + TICK_S
            self._tick(now)

    def outgoing(self, *, now: float) -> list[credit_words.Outgoing]:
        """Returns the messages to send now, as many as the budget allows."""
        if not (self._dirty or self._dirty_loans or self._dirty_requests):
            return []
        self._looked_at = now
        sent: list[credit_words.Outgoing] = []
        while self._dirty_loans and self._pace.has_token(now=now):
            key, host = next(iter(self._dirty_loans))
            del self._dirty_loans[key, host]
            self._tell(self._credits.get(key), host, sent, now)
        while self._dirty_requests and self._pace.has_token(now=now):
            holder = next(iter(self._dirty_requests))
            del self._dirty_requests[holder]
            request = self._requests.get(holder)
            if request is not None:
                self._pace.take(now=now)
                asked = credit_words.Asked(request.count, request.slowest)
                sent.append(credit_words.Outgoing(holder, asked))
        while self._dirty and self._pace.has_token(now=now):
            key = next(iter(self._dirty))
            del self._dirty[key]
            self._report(self._credits.get(key), sent, now)
        return sent

    def next_deadline(self) -> float | None:
        """Returns when something falls due."""
        earliest = math.inf
        for due in (self._idle, self._counted, self._unanswered, self._asks):
            if due:
                earliest = min(earliest, next(iter(due.values())))
        if self._requests:
            until = next(iter(self._requests.values())).until
            earliest = min(earliest, until)
        if self._dirty or self._dirty_loans or self._dirty_requests:
            at = self._looked_at + 1.5 / MESSAGES_PER_S
            earliest = min(earliest, at)
        if self._gathering or self.hungry:
            earliest = min(earliest, self._tick_at)
        return None if earliest == math.inf else earliest

    def _move(
        self, credit: credit_state.Credit, holder: ids.HostId, now: float
    ) -> None:
        was_mine, credit.mine = credit.mine, holder == self._host
        credit.holder = holder
        self._end_ask(credit.resource.key)
        self._idle.pop(credit.resource.key, None)
        credit.held = credit.in_use
        credit.ceiling = None
        credit.serial = 0
        if credit.mine:
            self._mine[credit.resource.key] = credit
            self._gather(credit, now)
            return
        if was_mine:
            del self._mine[credit.resource.key]
            credit.loans.clear()
            credit.lent = 0
        if credit.held:
            self._refresh.setdefault(credit.resource.key, now + REFRESH_S)
            self._dirty[credit.resource.key] = None

    def _answered(self, holder: ids.HostId, count: int) -> None:
        request = self._requests.get(holder)
        if request is None:
            return
        count = min(count, request.count)
        request.count -= count
        if holder in self._unanswered:
            self._asked -= count
        if not request.count:
            self._drop_request(holder)

    def _drop_request(self, holder: ids.HostId) -> None:
        request = self._requests.pop(holder, None)
        if self._unanswered.pop(holder, None) is not None and request:
            self._asked -= request.count

    def _gather(self, credit: credit_state.Credit, now: float) -> None:
        if len(self._holders) > 1:
            credit.gathering = self._gathering = True
            credit.gather_until = now + GATHER_S

    def _drop(self, key: str) -> None:
        self._end_ask(key)
        self._idle.pop(key, None)
        self._dirty.pop(key, None)
        self._holders.forget(key)
        self._mine.pop(key, None)
        self._refresh.pop(key, None)
        del self._credits[key]

    def _end_ask(self, key: str) -> None:
        self._count_off(key)
        if self._asks.pop(key, None) is not None:
            self._credits[key].asked = 0

    def _count_off(self, key: str) -> None:
        if self._counted.pop(key, None) is not None:
            self._asked -= self._credits[key].asked

    def _note_idle(self, credit: credit_state.Credit, now: float) -> None:
        key = credit.resource.key
        if key not in self._idle:
            self._idle[key] = now + IDLE_S

    def _give_back_to(self, holder: ids.HostId) -> None:
        """Gives back all that lies idle of one holder, in one message."""
        keys = [
            key for key in self._idle if self._credits[key].holder == holder
        ]
        for key in keys:
            del self._idle[key]
            self._give_back(self._credits[key])

    def _give_back(self, credit: credit_state.Credit) -> None:
        if not credit.mine and credit.held > credit.in_use:
            credit.held = credit.in_use
            self._dirty[credit.resource.key] = None

    def _serve(self, credit: credit_state.Credit, now: float) -> None:
        """Lends what is free to those that have least of what they want."""
        while not credit.gathering and credit.free > 0:
            host = self._neediest(credit, now)
            if host is None:
                return
            loan = credit.loans.get(host)
            if loan is None:
                loan = credit.loans[host] = credit_state.Loan(now + LOAN_S)
            if self.hungry and loan.reserved >= credit.in_use:
                return
            if not loan.short(now):
                self._requested[host].count -= 1
            loan.reserved += 1
            loan.allowed = loan.reserved
            credit.lent += 1
            self._change(credit, host, loan)

    def _neediest(
        self, credit: credit_state.Credit, now: float
    ) -> ids.HostId | None:
        """Returns who has least of a resource that it wants more of."""
        short = [host for host, loan in credit.loans.items() if loan.short(now)]
        for host, request in list(self._requested.items()):
            if request.until <= now or request.count <= 0:
                del self._requested[host]
            elif credit.slowness <= request.slowest:
                short.append(host)
        if not short:
            return None
        if len(short) == 1:
            return short[0]
        return min(short, key=lambda host: self._need_order(credit, host))

    def _need_order(
        self, credit: credit_state.Credit, host: ids.HostId
    ) -> tuple[int, int]:
        # Equals are ranked differently at each resource, so that none of
        # them comes last everywhere.
        loan = credit.loans.get(host)
        reserved = loan.reserved if loan else 0
        return reserved, self._holders.score(credit.resource.key, host)

    def _change(
        self,
        credit: credit_state.Credit,
        host: ids.HostId,
        loan: credit_state.Loan,
    ) -> None:
        if (credit.resource.key, host) not in self._dirty_loans:
            loan.serial += 1
            loan.seen = False
            self._dirty_loans[credit.resource.key, host] = None

    def _ask_back(self, credit: credit_state.Credit, now: float) -> None:
        """Asks the greatest borrower for what exceeds a fair part."""
        short = [each for each in credit.loans.values() if each.short(now)]
        takers = len(short) + self.hungry
        if not takers or not credit.loans:
            return
        host, loan = max(
            credit.loans.items(), key=lambda item: item[1].reserved
        )
        least = min((each.reserved for each in short), default=credit.in_use)
        if self.hungry:
            least = min(least, credit.in_use)
        users = sum(
            each.reserved > 0 or each.short(now) > 0
            for each in credit.loans.values()
        )
        fair = -(-credit.resource.capacity // (users + self.hungry))
        if not loan.seen or loan.reserved <= max(fair, least + 1):
            return
        loan.allowed = fair
        self._change(credit, host, loan)

    def _tick(self, now: float) -> None:
        self._gathering = False
        for key, credit in self._mine.items():
            self._tick_holder(key, credit, now)
        while self._refresh:
            key, at = next(iter(self._refresh.items()))
            if at > now:
                break
            del self._refresh[key]
            credit = self._credits[key]
            if credit.held and not credit.mine:
                self._refresh[key] = now + REFRESH_S
                self._dirty[key] = None

    def _tick_holder(
        self, key: str, credit: credit_state.Credit, now: float
    ) -> None:
        if credit.gathering:
            credit.gathering = credit.gather_until > now
            self._gathering |= credit.gathering
            if not credit.gathering:
                self.changed.add(key)
                self._serve(credit, now)
        if not credit.loans:
            return
        void = [h for h, loan in credit.loans.items() if loan.void_at <= now]
        for host in void:
            credit.lent -= credit.loans.pop(host).reserved
            self.changed.add(key)
        if credit.free <= 0:
            self._ask_back(credit, now)

    def _tell(
        self,
        credit: credit_state.Credit | None,
        host: ids.HostId,
        sent: list[credit_words.Outgoing],
        now: float,
    ) -> None:
        loan = credit.loans.get(host) if credit else None
        if credit is None or loan is None or host not in self._holders:
            return
        loan.told_at = now
        key = credit.resource.key
        self._pace.take(now=now)
        sent.append(
            credit_words.Outgoing(
                host,
                credit_words.Lent(
                    key, loan.allowed, loan.serial, credit.slowness
                ),
            )
        )

    def _report(
        self,
        credit: credit_state.Credit | None,
        sent: list[credit_words.Outgoing],
        now: float,
    ) -> None:
        if credit is None or credit.mine:
            return
        wanted = credit.held + credit.asked
        message = credit_words.Wanted(
            credit.resource.key, credit.held, wanted, credit.serial
        )
        self._pace.take(now=now)
        sent.append(credit_words.Outgoing(credit.holder, message))
