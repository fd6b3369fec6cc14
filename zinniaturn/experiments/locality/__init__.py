"""A model of VMs and servers in several data centres, in virtual time."""
