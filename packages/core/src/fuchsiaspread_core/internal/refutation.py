"""Refutation of wrong records that others hold of this entry VM."""

from dataclasses import replace

from ..members import Member


def refute(local: Member, update: Member) -> Member | None:
    """Return the own record with a higher incarnation if another one contradicts it, or None."""
    is_other_address = (update.peer, update.control) != (local.peer, local.control)
    is_contradicting = update.state > local.state or is_other_address
    is_newer = update.incarnation > local.incarnation
    if is_newer or (update.incarnation == local.incarnation and is_contradicting):
        return replace(local, incarnation=update.incarnation + 1)
    return None
