"""
Planned stop of a VM, in ticks of a discrete clock.

A caller may use the VM's address for ENTRY_KEEP_TICKS after an entry answer. Gossip reaches every
peer within GOSSIP_TICKS. A request ends within HARD_DEADLINE_TICKS of its start.
"""

import z3

from .spec import Action, Spec

ENTRY_KEEP_TICKS = 2
GOSSIP_TICKS = 1
HARD_DEADLINE_TICKS = 2
SERVING, LEAVING, FINISHING, EXITED = range(4)
NONE_IN_FLIGHT = -1


def build_spec() -> Spec:
    """Return the specification of a planned stop."""
    phase = z3.Int('phase')
    cached = z3.Int('cached')
    peer_knows = z3.Bool('peer_knows')
    since_stop = z3.Int('since_stop')
    flight = z3.Int('flight')
    cut_off = z3.Bool('cut_off')
    variables = {
        'phase': phase,
        'cached': cached,
        'peer_knows': peer_knows,
        'since_stop': since_stop,
        'flight': flight,
        'cut_off': cut_off,
    }
    initial = z3.And(
        phase == SERVING,
        cached == 0,
        z3.Not(peer_knows),
        since_stop == 0,
        flight == NONE_IN_FLIGHT,
        z3.Not(cut_off),
    )
    stopped = z3.And(phase != SERVING, since_stop >= 0)
    actions = [
        Action(
            'entry answer by the VM',
            {'VM is not leaving': phase == SERVING},
            {'cached': z3.IntVal(ENTRY_KEEP_TICKS)},
        ),
        Action(
            'entry answer by a peer',
            {'peer does not know of the stop': z3.Not(peer_knows)},
            {'cached': z3.IntVal(ENTRY_KEEP_TICKS)},
        ),
        Action(
            'request arrives',
            {'address is cached': cached > 0, 'no request is in flight': flight == NONE_IN_FLIGHT},
            {
                'flight': z3.If(phase <= LEAVING, z3.IntVal(HARD_DEADLINE_TICKS), flight),
                'cut_off': z3.Or(cut_off, phase >= FINISHING),
            },
        ),
        Action(
            'request ends',
            {'a request is in flight': flight >= 0},
            {'flight': z3.IntVal(NONE_IN_FLIGHT)},
        ),
        Action('stop', {'VM serves': phase == SERVING}, {'phase': z3.IntVal(LEAVING)}),
        Action(
            'gossip arrives', {'stop was announced': stopped}, {'peer_knows': z3.BoolVal(True)}
        ),
        Action(
            'serving time ends',
            {
                'VM is leaving': phase == LEAVING,
                'serving time has passed': since_stop >= ENTRY_KEEP_TICKS + GOSSIP_TICKS,
            },
            {'phase': z3.IntVal(FINISHING)},
        ),
        Action(
            'exit',
            {
                'VM is finishing': phase == FINISHING,
                'in-flight requests have ended': flight == NONE_IN_FLIGHT,
            },
            {'phase': z3.IntVal(EXITED), 'cut_off': z3.Or(cut_off, flight >= 0)},
        ),
        Action(
            'tick',
            {
                'gossip is in time': z3.Or(z3.Not(stopped), since_stop < GOSSIP_TICKS, peer_knows),
                'request is in time': flight != 0,
                'serving ends in time': z3.Or(
                    phase != LEAVING, since_stop < ENTRY_KEEP_TICKS + GOSSIP_TICKS
                ),
                'exit is in time': z3.Or(phase != FINISHING, flight >= 0),
            },
            {
                'cached': z3.If(cached > 0, cached - 1, cached),
                'since_stop': z3.If(z3.And(stopped, since_stop < 20), since_stop + 1, since_stop),
                'flight': z3.If(flight > 0, flight - 1, flight),
            },
        ),
    ]
    invariants = {
        'no request is cut off': z3.Not(cut_off),
        'stop ends in bounded time': z3.Implies(
            since_stop > ENTRY_KEEP_TICKS + GOSSIP_TICKS + HARD_DEADLINE_TICKS, phase == EXITED
        ),
    }
    assumptions = frozenset(
        (
            'address is cached',
            'no request is in flight',
            'a request is in flight',
            'VM serves',
            'stop was announced',
            'VM is leaving',
            'VM is finishing',
            'peer does not know of the stop',
            'gossip is in time',
            'request is in time',
            'serving ends in time',
            'exit is in time',
        )
    )
    return Spec('stopping', variables, initial, actions, invariants, assumptions)
