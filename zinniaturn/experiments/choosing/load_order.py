"""What a load generator is told and what it brings back."""

__all__ = ('LoadOrder', 'LoadRow', 'Stream')

import msgspec


class Stream(msgspec.Struct, frozen=True):
    """
    The requests of one service in one slice.

    ``starts_after`` counts from the run's start, which is monotonic time that
    all processes of a VM share.
    ``rates`` are pairs of the offset and the requests per second from then
    on; a rate of 0 ends the stream.
    """

    slice_number: int
    service: str
    path: str
    starts_after: float
    rates: tuple[tuple[float, float], ...]
    seed: str
    mean_seconds: float
    sigma: float
    post_share: float
    long_share: float
    long_factor: float
    deadline_seconds: float
    patience_seconds: float


class LoadOrder(msgspec.Struct, frozen=True):
    """The streams of a generator and the entries that it calls."""

    generator: int
    entries: tuple[tuple[str, int], ...]
    streams: tuple[Stream, ...]


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """
    One request and how it ended.

    ``due_seconds`` is the offset in the slice and ``latency_seconds`` counts
    from then to the last answer. ``told`` is the outcome that the last answer
    stated, ``answered`` where it was a backend server's, and ``nothing``
    where there was none. ``always_not_run`` holds where every answer said so.
    """

    slice_number: int
    service: str
    request_id: str
    due_seconds: float
    late_seconds: float
    latency_seconds: float
    told: str
    status: int
    tries: int
    always_not_run: bool
