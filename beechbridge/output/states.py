"""Summaries of state dumps, and differences between the dumps of several VMs."""


def summarise_state(state: dict) -> dict:
    """Return the main figures of a state dump."""
    configuration = state['configuration']
    membership = state['membership']
    return {
        'vm': state['vm'],
        'place': state['place'],
        'phase': state['phase'],
        'ready': state['ready'],
        'generation': configuration['generation'],
        'digest': configuration['digest'][:12],
        'reader': configuration['is_reader'],
        'vms_answering': len(answering_vms(state)),
        'list_age_ms': membership['list_age_ms'],
        'active_queries': state['active_queries'],
        'connections': sum(replica['connections_open'] for replica in state['replicas']),
        'draining': len(replicas_with(state, 'draining')),
        'ejected': len(replicas_with(state, 'ejected')),
    }


def answering_vms(state: dict) -> list[str]:
    """Return the VMs that a VM considers alive."""
    vms = state['membership']['vms']
    return sorted(name for name, view in vms.items() if view['answering'])


def replicas_with(state: dict, field: str) -> list[str]:
    """Return the names of the replicas for which a field is true."""
    return sorted(item['replica'] for item in state['replicas'] if item[field])


COMPARED_FIELDS = {
    'generation': lambda state: state['configuration']['generation'],
    'digest': lambda state: state['configuration']['digest'],
    'vms listed': lambda state: sorted(state['membership']['vms']),
    'vms answering': answering_vms,
    'replicas draining': lambda state: replicas_with(state, 'draining'),
}
"""Values on which all VMs should agree, with functions that extract them from a dump."""


def compare_states(states: list[dict]) -> list[dict]:
    """Return a row per VM and value for every value on which the VMs disagree."""
    differences = []
    for name, extract in COMPARED_FIELDS.items():
        seen = {state['vm']: extract(state) for state in states}
        values = list(seen.values())
        if all(value == values[0] for value in values):
            continue
        for vm, value in seen.items():
            shown = ', '.join(value) if isinstance(value, list) else str(value)
            differences.append({'differs': name, 'vm': vm, 'sees': shown})
    return differences
