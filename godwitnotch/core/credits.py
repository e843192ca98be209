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

import hashlib
import math
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

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


@dataclass(frozen=True, slots=True)
class Resource:
    """Something limited; domain None means that it belongs to none."""

    key: str
    capacity: int
    domain: ids.DomainId | None


@dataclass(frozen=True, slots=True)
class Wanted:
    """From a borrower to the holder."""

    key: str
    held: int
    wanted: int
    serial: int


@dataclass(frozen=True, slots=True)
class Lent:
    """From the holder to a borrower."""

    key: str
    allowed: int
    serial: int
    slowness: int = 0


@dataclass(frozen=True, slots=True)
class Asked:
    """From a host to a holder: it would use more of any of its resources.

    Attributes:
        count: How much more.
        slowest: Highest `slowness` of a resource that is of use.
    """

    count: int
    slowest: int


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to a peer."""

    host: ids.HostId
    message: Wanted | Lent | Asked


@dataclass(slots=True)
class _Request:
    """A standing request for some of any resources of one holder."""

    count: int
    slowest: int
    until: float


@dataclass(slots=True)
class _Loan:
    """What the holder knows of one borrower.

    Attributes:
        reserved: What the borrower may be using.
        allowed: What it was last told.
        seen: Whether it has said something since it was told.
    """

    void_at: float
    reserved: int = 0
    allowed: int = 0
    serial: int = 0
    seen: bool = True
    told_at: float = -math.inf
    wanted: int = 0
    wanted_until: float = 0.0

    def short(self, now: float) -> int:
        """Returns how much more the borrower wants."""
        if self.wanted_until <= now:
            return 0
        return max(self.wanted - self.reserved, 0)


@dataclass(slots=True)
class Credit:
    """This host's part of one resource.

    Attributes:
        mine: Whether this host is the holder.
        in_use: What this host uses.
        held: What it may use, unless it is the holder.
        lent: What its borrowers may be using, if it is the holder.
        slowness: What a request's `slowest` is compared with.
    """

    resource: Resource
    holder: ids.HostId
    mine: bool
    in_use: int = 0
    held: int = 0
    lent: int = 0
    slowness: int = 0
    gathering: bool = False
    gather_until: float = 0.0
    ceiling: int | None = None
    serial: int = 0
    asked: int = 0
    loans: dict[ids.HostId, _Loan] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """What this host may use beyond what it uses."""
        if self.mine and not self.gathering:
            return self.resource.capacity - self.lent - self.in_use
        return self.held - self.in_use


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
        self._domains: dict[ids.HostId, ids.DomainId] = {host: domain}
        self._credits: dict[str, Credit] = {}
        self._mine: dict[str, Credit] = {}
        self._refresh: dict[str, float] = {}
        self._near: dict[ids.DomainId | None, list[ids.HostId]] = {}
        self._scores: dict[str, dict[ids.HostId, int]] = {}
        self._asks: dict[str, float] = {}
        self._asked = 0
        self._counted: dict[str, float] = {}
        self._requests: dict[ids.HostId, _Request] = {}
        self._unanswered: dict[ids.HostId, float] = {}
        self._requested: dict[ids.HostId, _Request] = {}
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

    def credit(self, key: str) -> Credit | None:
        """Returns this host's part of a resource."""
        return self._credits.get(key)

    def resources_seen(
        self, resources: Iterable[Resource], *, now: float
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

    def add(self, resource: Resource, *, now: float) -> Credit:
        """Takes in one resource."""
        holder = self._choose(resource)
        credit = Credit(resource, holder, holder == self._host)
        self._credits[resource.key] = credit
        if credit.mine:
            self._mine[resource.key] = credit
            self._gather(credit, now)
        return credit

    def hosts_seen(
        self, domains: Mapping[ids.HostId, ids.DomainId], *, now: float
    ) -> None:
        """Takes the linked hosts, and lets holders move accordingly."""
        own = {self._host: self._domains[self._host]}
        gone = self._domains.keys() - domains.keys() - own.keys()
        self._domains = {**domains, **own}
        self._near.clear()
        for host in gone:
            self._drop_request(host)
            self._requested.pop(host, None)
        for credit in self._credits.values():
            holder = self._choose(credit.resource)
            if holder != credit.holder:
                self._move(credit, holder, now)
            for host in gone & credit.loans.keys():
                loan = credit.loans[host]
                loan.void_at = min(loan.void_at, now + GRACE_S)
                loan.wanted = 0

    def take(self, credit: Credit) -> None:
        """Uses one; the caller has seen that one is free."""
        credit.in_use += 1
        self._idle.pop(credit.resource.key, None)

    def put(self, credit: Credit, *, now: float) -> None:
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

    def ask(self, credit: Credit, count: int, *, now: float) -> None:
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
        self, holder: ids.HostId, asked: Asked, *, now: float
    ) -> None:
        """Asks a holder for some of any of its resources."""
        self._drop_request(holder)
        request = _Request(asked.count, asked.slowest, now + ASK_S)
        self._requests[holder] = request
        self._unanswered[holder] = now + ANSWER_S
        self._asked += asked.count
        self._dirty_requests[holder] = None

    def covers(self, holder: ids.HostId, asked: Asked) -> bool:
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
        message: Asked,
        order: Iterable[str],
        *,
        now: float,
    ) -> None:
        """Takes a request; what this host holds is lent in the given order."""
        request = _Request(message.count, message.slowest, now + ASK_S)
        self._requested[host] = request
        for key in order:
            credit = self._credits.get(key)
            if request.count > 0 and credit is not None and credit.mine:
                self._serve(credit, now)

    def wanted(self, host: ids.HostId, message: Wanted, *, now: float) -> None:
        """Takes a borrower's word."""
        credit = self._credits.get(message.key)
        if credit is None:
            return
        if not credit.mine and not message.wanted and not message.held:
            return
        loan = credit.loans.get(host)
        if loan is None:
            loan = _Loan(now + LOAN_S, allowed=message.held)
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

    def lent(self, host: ids.HostId, message: Lent, *, now: float) -> None:
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

    def outgoing(self, *, now: float) -> list[Outgoing]:
        """Returns the messages to send now, as many as the budget allows."""
        if not (self._dirty or self._dirty_loans or self._dirty_requests):
            return []
        self._looked_at = now
        sent: list[Outgoing] = []
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
                asked = Asked(request.count, request.slowest)
                sent.append(Outgoing(holder, asked))
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

    def _choose(self, resource: Resource) -> ids.HostId:
        return max(
            self._candidates(resource.domain),
            key=lambda host: self._score(resource.key, host),
        )

    def _score(self, key: str, host: ids.HostId) -> int:
        scores = self._scores.setdefault(key, {})
        score = scores.get(host)
        if score is None:
            score = scores[host] = _score(key, host)
        return score

    def _candidates(self, domain: ids.DomainId | None) -> list[ids.HostId]:
        near = self._near.get(domain)
        if near is None:
            near = [h for h, each in self._domains.items() if each == domain]
            self._near[domain] = near = near or list(self._domains)
        return near

    def _move(self, credit: Credit, holder: ids.HostId, now: float) -> None:
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

    def _gather(self, credit: Credit, now: float) -> None:
        if len(self._domains) > 1:
            credit.gathering = self._gathering = True
            credit.gather_until = now + GATHER_S

    def _drop(self, key: str) -> None:
        self._end_ask(key)
        self._idle.pop(key, None)
        self._dirty.pop(key, None)
        self._scores.pop(key, None)
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

    def _note_idle(self, credit: Credit, now: float) -> None:
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

    def _give_back(self, credit: Credit) -> None:
        if not credit.mine and credit.held > credit.in_use:
            credit.held = credit.in_use
            self._dirty[credit.resource.key] = None

    def _serve(self, credit: Credit, now: float) -> None:
        """Lends what is free to those that have least of what they want."""
        while not credit.gathering and credit.free > 0:
            host = self._neediest(credit, now)
            if host is None:
                return
            loan = credit.loans.get(host)
            if loan is None:
                loan = credit.loans[host] = _Loan(now + LOAN_S)
            if self.hungry and loan.reserved >= credit.in_use:
                return
            if not loan.short(now):
                self._requested[host].count -= 1
            loan.reserved += 1
            loan.allowed = loan.reserved
            credit.lent += 1
            self._change(credit, host, loan)

    def _neediest(self, credit: Credit, now: float) -> ids.HostId | None:
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

    def _need_order(self, credit: Credit, host: ids.HostId) -> tuple[int, int]:
        # Equals are ranked differently at each resource, so that none of
        # them comes last everywhere.
        loan = credit.loans.get(host)
        reserved = loan.reserved if loan else 0
        return reserved, self._score(credit.resource.key, host)

    def _change(self, credit: Credit, host: ids.HostId, loan: _Loan) -> None:
        if (credit.resource.key, host) not in self._dirty_loans:
            loan.serial += 1
            loan.seen = False
            self._dirty_loans[credit.resource.key, host] = None

    def _ask_back(self, credit: Credit, now: float) -> None:
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

    def _tick_holder(self, key: str, credit: Credit, now: float) -> None:
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
        credit: Credit | None,
        host: ids.HostId,
        sent: list[Outgoing],
        now: float,
    ) -> None:
        loan = credit.loans.get(host) if credit else None
        if credit is None or loan is None or host not in self._domains:
            return
        loan.told_at = now
        key = credit.resource.key
        self._pace.take(now=now)
        sent.append(
            Outgoing(
                host, Lent(key, loan.allowed, loan.serial, credit.slowness)
            )
        )

    def _report(
        self, credit: Credit | None, sent: list[Outgoing], now: float
    ) -> None:
        if credit is None or credit.mine:
            return
        wanted = credit.held + credit.asked
        message = Wanted(
            credit.resource.key, credit.held, wanted, credit.serial
        )
        self._pace.take(now=now)
        sent.append(Outgoing(credit.holder, message))


def _score(key: str, host: ids.HostId) -> int:
    digest = hashlib.blake2b(f"{key}/{host}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
