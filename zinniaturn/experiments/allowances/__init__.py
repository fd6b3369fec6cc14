"""Days of a tenant with an allowance before a fleet, in virtual time."""
