"""Which VM grants the permits for a server that names a limit."""

__all__ = ('grantable_share', 'owner_of')

from zinniaturn.fleet.vms import VmTable


def owner_of(vms: VmTable, server: str) -> str | None:
    """Return the ready VM that a server belongs to, if there is one."""
    return vms.alive.ready.owner(server)


def grantable_share(vms: VmTable) -> float:
    """
    Return the part of a server's limit that its owner may grant.

    More than half of the VMs that may be alive grant all of it. A smaller part
    of the fleet can't tell whether the others are dead or cut off, so it grants
    no more than its share.
    """
    count = len(vms.alive_vms()) + 1
    size = vms.max_size()
    return 1 if count * 2 > size else count / size
