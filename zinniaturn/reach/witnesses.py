"""The VMs that a pool's servers respond to, as they and others say."""

__all__ = ('PoolResponse', 'Witnesses')

from dataclasses import dataclass, field

_LIFETIME_SECONDS = 1.5
_MOST_VMS_PER_POOL = 24


@dataclass(frozen=True, slots=True)
class PoolResponse:
    """
    A server of a pool responded to a VM.

    ``responded_at`` is in seconds, by the clock of the VM that holds it.
    """

    pool: str
    vm: str
    responded_at: float


@dataclass(slots=True)
class Witnesses:
    """
    The latest response to each VM, by pool.

    A response counts for a second and a half. Each pool keeps the 24 VMs with
    the latest ones.

    >>> witnesses = Witnesses()
    >>> witnesses.note(PoolResponse('card', 'vm-2', 10.0))
    >>> witnesses.of('card', since=9.5, now=10.4)
    ['vm-2']
    >>> witnesses.of('card', since=10.1, now=10.4)
    []
    """

    pools: dict[str, dict[str, float]] = field(default_factory=dict)

    def note(self, response: PoolResponse) -> None:
        """Take a response into account unless a later one is known."""
        times = self.pools.setdefault(response.pool, {})
        known_at = times.get(response.vm, float('-inf'))
        times[response.vm] = max(known_at, response.responded_at)
        if len(times) > _MOST_VMS_PER_POOL:
            times.pop(min(times, key=times.__getitem__))

    def discard(self, pool: str, vm: str) -> None:
        """Forget a VM, as the pool's servers no longer respond to it."""
        self.pools.get(pool, {}).pop(vm, None)

    def of(self, pool: str, since: float, now: float) -> list[str]:
        """Return the VMs with a response after ``since``, the latest first."""
        oldest = max(since, now - _LIFETIME_SECONDS)
        times = self.pools.get(pool, {})
        recent = [vm for vm in times if times[vm] > oldest]
        return sorted(recent, key=times.__getitem__, reverse=True)

    def latest(self, pool: str, count: int, now: float) -> list[PoolResponse]:
        """Return the latest responses of a pool's servers."""
        times = self.pools.get(pool, {})
        vms = self.of(pool, float('-inf'), now)
        return [PoolResponse(pool, vm, times[vm]) for vm in vms[:count]]

    def discard_old(self, now: float) -> None:
        """Forget the responses that no longer count."""
        oldest = now - _LIFETIME_SECONDS
        for pool, times in list(self.pools.items()):
            for vm, responded_at in list(times.items()):
                if responded_at <= oldest:
                    times.pop(vm)
            if not times:
                self.pools.pop(pool)
