"""Summaries of state dumps, and where the dumps of several VMs differ."""


def summarise_state(state: dict) -> dict:
    """Return what an operator looks at first."""
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
        'vms_answering': len(answering(state)),
        'list_age_ms': membership['list_age_ms'],
        'active_queries': state['active_queries'],
        'connections': sum(replica['connections_open'] for replica in state['replicas']),
        'draining': len(replicas_with(state, 'draining')),
        'ejected': len(replicas_with(state, 'ejected')),
    }


def answering(state: dict) -> list[str]:
    """Return the VMs that a VM takes for alive."""
    vms = state['membership']['vms']
    return sorted(name for name, view in vms.items() if view['answering'])


def replicas_with(state: dict, field: str) -> list[str]:
    """Return the replicas for which a field is true."""
    return sorted(item['replica'] for item in state['replicas'] if item[field])


COMPARED = {
    'generation': lambda state: state['configuration']['generation'],
    'digest': lambda state: state['configuration']['digest'],
    'vms listed': lambda state: sorted(state['membership']['vms']),
    'vms answering': answering,
    'replicas draining': lambda state: replicas_with(state, 'draining'),
}
"""What all VMs should agree on, and how to read it from a dump."""


def compare_states(states: list[dict]) -> list[dict]:
    """Return one row for each thing that VMs see differently, and what each sees."""
    differences = []
    for name, read in COMPARED.items():
        seen = {state['vm']: read(state) for state in states}
        values = list(seen.values())
        if all(value == values[0] for value in values):
            continue
        for vm, value in seen.items():
            shown = ', '.join(value) if isinstance(value, list) else str(value)
            differences.append({'differs': name, 'vm': vm, 'sees': shown})
    return differences
