"""
Each VM's share of a replica's connection limit.

Safety: let U be the set of running VMs, and let each VM's list lack at most `spare_vms` of them.
With equal shares, each share is at most limit / |U|, so the sum over U is at most the limit. If
the limit is too small for equal shares, only the VMs that rank first for the replica (its owners)
hold one connection each: an owner's rank is below limit - spare_vms in its own list, hence below
limit in U.
"""

from collections.abc import Collection

from ..hashing import rank_names


def connection_share(
    limit: int, spare_vms: int, vm_names: Collection[str], own_name: str, replica_id: str
) -> int:
    """
    Return how many connections this VM may hold to a replica.

    :param limit: maximum connections that the replica accepts from the whole fleet
    :param spare_vms: maximum running VMs that a VM's list may lack
    :param vm_names: listed VMs, including those that are leaving
    """
    fleet_size = len(vm_names) + spare_vms
    if own_name not in vm_names:
        fleet_size += 1
    share = limit // fleet_size
    if share >= 1:
        return share
    owners = rank_names(replica_id, vm_names)[: max(0, limit - spare_vms)]
    return 1 if own_name in owners else 0
