"""
Describes decisions in plain sentences.

>>> describe_decision(ServerLeaving('card', 'card-0', 'reply'))
'card-0 in pool card is leaving, reported by: reply'
"""

__all__ = ('describe_decision',)

from zinniaturn.explain.decisions import (
    Decision,
    EntryStateChanged,
    EventLogged,
    RequestEnded,
    RequestHedged,
    RequestRefused,
    RevisionInstalled,
    RevisionRefused,
    ServerChosen,
    ServerEjected,
    ServerLeaving,
    ServerReadmitted,
)


def describe_decision(decision: Decision) -> str:
    """Return what was decided and why, in one sentence."""
    if decision.is_about_request:
        return _describe_request_decision(decision)
    match decision:
        case EventLogged(event=event, text=text, fields=fields):
            return f'event {event}: {text}{fields and f" ({fields})"}'
        case RevisionInstalled():
            return (
                f'revision {decision.revision} took effect here, '
                f'received from: {decision.witness}'
            )
        case RevisionRefused():
            return (
                f'revision {decision.revision} from {decision.witness} was '
                f'rejected: {decision.grounds}'
            )
        case EntryStateChanged():
            return (
                f'entry {decision.entry} became {decision.state}: '
                f'{decision.grounds}'
            )
    return _describe_server_decision(decision)


def _describe_server_decision(decision: Decision) -> str:
    match decision:
        case ServerEjected():
            return (
                f'{decision.server} in pool {decision.pool} was ejected for '
                f'{decision.seconds:.1f} s: {decision.grounds}'
            )
        case ServerReadmitted():
            return (
                f'{decision.server} in pool {decision.pool} responds again '
                'and its failure count was reset'
            )
        case ServerLeaving(leaving=True):
            return (
                f'{decision.server} in pool {decision.pool} is leaving, '
                f'reported by: {decision.witness}'
            )
        case ServerLeaving():
            return (
                f'{decision.server} in pool {decision.pool} gets requests '
                f'again: {decision.witness} no longer reports it as leaving'
            )
    return repr(decision)


def _describe_request_decision(decision: Decision) -> str:
    match decision:
        case ServerChosen():
            return (
                f'request {decision.request_id}: attempt {decision.attempt} '
                f'went to {decision.server} of pool {decision.pool}, chosen '
                f'by {decision.grounds}; this entry then had '
                f'{decision.in_flight} in flight there'
            )
        case RequestHedged():
            return (
                f'request {decision.request_id}: no response after '
                f'{decision.after_seconds * 1000:.1f} ms, so a hedged request '
                f'went to {decision.server}'
            )
        case RequestEnded():
            return (
                f'request {decision.request_id}: the attempt ended in phase '
                f'{decision.phase} with {decision.event} ({decision.detail}); '
                f'outcome: {decision.outcome}'
            )
        case RequestRefused():
            return (
                f'request {decision.request_id}: refused with code '
                f'{decision.code}, outcome {decision.outcome}: '
                f'{decision.detail}'
            )
    return repr(decision)
