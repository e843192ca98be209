"""Turns the words of credit ledgers into messages between hosts."""

from godwitnotch.core import credit_words
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import scheduler


def about_slots(
    sent: list[credit_words.Outgoing],
) -> list[scheduler.PeerMessage]:
    """Returns one message for each peer and kind."""
    by_host: dict[ids.HostId, list[messages.SlotsWanted | messages.SlotsLent]]
    by_host = {}
    out = []
    for each in sent:
        word = each.message
        if isinstance(word, credit_words.Asked):
            ask = messages.SlotsAsked(word.count, word.slowest)
            out.append(scheduler.PeerMessage(each.host, ask))
            continue
        by_host.setdefault(each.host, []).append(_slots_message(word))
    for host, words in by_host.items():
        if len(words) == 1:
            out.append(scheduler.PeerMessage(host, words[0]))
            continue
        wanted = [w for w in words if isinstance(w, messages.SlotsWanted)]
        lent = [w for w in words if isinstance(w, messages.SlotsLent)]
        batch = messages.SlotsBatch(tuple(wanted), tuple(lent))
        out.append(scheduler.PeerMessage(host, batch))
    return out


def _slots_message(
    word: credit_words.Wanted | credit_words.Lent,
) -> messages.SlotsWanted | messages.SlotsLent:
    key = ids.UpstreamId(word.key)
    if isinstance(word, credit_words.Wanted):
        return messages.SlotsWanted(key, word.held, word.wanted, word.serial)
    return messages.SlotsLent(key, word.allowed, word.serial, word.slowness)


def about_quota(
    sent: credit_words.Outgoing, limit: int
) -> scheduler.PeerMessage:
    """Returns a message about the quota of a workspace.

    Args:
        sent: What the ledger of quotas sends.
        limit: The whole quota.
    """
    word = sent.message
    assert not isinstance(word, credit_words.Asked)
    workspace = ids.WorkspaceId(word.key)
    if isinstance(word, credit_words.Lent):
        lent = messages.QuotaLent(workspace, word.allowed, word.serial)
        return scheduler.PeerMessage(sent.host, lent)
    wanted = messages.QuotaWanted(
        workspace, word.held, word.wanted, word.serial, limit
    )
    return scheduler.PeerMessage(sent.host, wanted)
