"""Which VM grants the permits for a server that names a limit."""

__all__ = ('alive_share', 'grantable_share', 'owner_of')

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


def alive_share(vms: VmTable) -> float:
    """
    Return the share of the VMs that are alive, of all that may be.

    Parts of the fleet that are cut off from each other grant no more than the
    whole together, also where the others of one of them are dead.
    """
    return (len(vms.alive_vms()) + 1) / vms.max_size()
