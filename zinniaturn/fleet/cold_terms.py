"""What an owner grants for a server by its warm-up."""

__all__ = ('with_cold_terms',)

import math
from dataclasses import replace

from zinniaturn.admission.admission import Admission
from zinniaturn.admission.grantor import ColdTerms, PermitRequest


def with_cold_terms(
    request: PermitRequest, own: Admission | None, hand_over_seconds: float
) -> PermitRequest:
    """
    Return a request with the terms of a cold server, if it is about one.

    ``own`` is what the owner itself knows of the server. It counts, so that VMs
    that have heard of different ends of a warm-up don't move the limit to and
    fro. ``hand_over_seconds`` is for how long the requesting VM takes the
    warm-up to limit the server; `Admission.note_hand_over` was told of it.
    """
    if own is None or own.warm_up is None:
        if not hand_over_seconds:
            return request
        cold = ColdTerms(request.limit, 0)
        return replace(request, limit=math.inf, cold=cold)
    cold_limit = own.cold_limit()
    if cold_limit is None:
        return request
    stated, said_at = request.limit, request.said_at
    if hand_over_seconds and stated >= cold_limit:
        # The warm-up's limit, not one that the server has stated.
        known = own.notice
        stated, said_at = known.limit or math.inf, known.said_at
    terms = ColdTerms(cold_limit, own.warm_up.part_depth)
    return replace(request, limit=stated, said_at=said_at, cold=terms)
