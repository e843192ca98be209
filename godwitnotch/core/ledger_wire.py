"""Converts the messages of credit ledgers to messages between hosts."""

from godwitnotch.core import ids
from godwitnotch.core import ledger_messages
from godwitnotch.core import messages
from godwitnotch.core import scheduler


def slot_messages(
    outgoing: list[ledger_messages.OutgoingMessage],
) -> list[scheduler.PeerMessage]:
    """Converts messages about slots.

    Messages about single resources that go to the same host are combined into
    one batch.
    """
    by_host: dict[ids.HostId, list[messages.SlotsWanted | messages.SlotsLent]]
    by_host = {}
    result = []
    for item in outgoing:
        message = item.message
        if isinstance(message, ledger_messages.LoanRequest):
            request = messages.SlotsAsked(message.count, message.max_slowness)
            result.append(scheduler.PeerMessage(item.host, request))
            continue
        by_host.setdefault(item.host, []).append(_slot_message(message))
    for host, host_messages in by_host.items():
        if len(host_messages) == 1:
            result.append(scheduler.PeerMessage(host, host_messages[0]))
            continue
        wanted = [
            each
            for each in host_messages
            if isinstance(each, messages.SlotsWanted)
        ]
        lent = [
            each
            for each in host_messages
            if isinstance(each, messages.SlotsLent)
        ]
        batch = messages.SlotsBatch(tuple(wanted), tuple(lent))
        result.append(scheduler.PeerMessage(host, batch))
    return result


def _slot_message(
    message: ledger_messages.BorrowerReport | ledger_messages.LoanUpdate,
) -> messages.SlotsWanted | messages.SlotsLent:
    key = ids.UpstreamId(message.key)
    if isinstance(message, ledger_messages.BorrowerReport):
        return messages.SlotsWanted(
            key, message.held, message.wanted, message.serial
        )
    return messages.SlotsLent(
        key, message.allowed, message.serial, message.slowness
    )


def quota_message(
    outgoing: ledger_messages.OutgoingMessage, limit: int
) -> scheduler.PeerMessage:
    """Converts a message about the quota of a workspace.

    Args:
        outgoing: A message of the ledger of quotas.
        limit: The quota over all hosts.
    """
    message = outgoing.message
    assert not isinstance(message, ledger_messages.LoanRequest)
    workspace = ids.WorkspaceId(message.key)
    if isinstance(message, ledger_messages.LoanUpdate):
        lent = messages.QuotaLent(workspace, message.allowed, message.serial)
        return scheduler.PeerMessage(outgoing.host, lent)
    wanted = messages.QuotaWanted(
        workspace, message.held, message.wanted, message.serial, limit
    )
    return scheduler.PeerMessage(outgoing.host, wanted)
