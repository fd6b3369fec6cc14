"""Messages of the load generators: their orders and the rows they return."""

__all__ = ('LoadOrder', 'LoadRow', 'Stream')

import msgspec


class Stream(msgspec.Struct, frozen=True):
    """
    The requests for one service in one time slice.

    ``starts_after`` is the slice's offset from the start of the run, in
    seconds. The start is a monotonic time, as all processes of a VM share that
    clock. ``rates`` are pairs of an offset in the slice and the requests per
    second from then on; a rate of 0 ends the stream. ``deadline_seconds`` is
    the time limit that each attempt states, ``patience_seconds`` the limit on
    a request with all its retries.
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
    """The streams that a generator sends and the entries that it calls."""

    generator: int
    entries: tuple[tuple[str, int], ...]
    streams: tuple[Stream, ...]


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """
    The result of one request, with all its attempts.

    ``due_seconds`` is the scheduled offset in the slice, ``late_seconds`` the
    delay of the first attempt after it and ``latency_seconds`` the time from
    it to the end of the last attempt. ``told`` is the outcome that the last
    response stated: ``answered`` if it came from a backend server, ``nothing``
    if there was no response. ``tries`` is the number of attempts.
    ``always_not_run`` says whether every attempt's outcome was not run.
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
