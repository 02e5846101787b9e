"""
Planned stop and drain, on a clock of ticks.

A caller may hold the VM's address for KEEP ticks after an entry answer; gossip reaches every peer
within SPREAD ticks; a request ends within HARD ticks of its start.
"""

import z3

from .spec import Action, Spec

KEEP = 2
SPREAD = 1
HARD = 2
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
            {'VM does not leave': phase == SERVING},
            {'cached': z3.IntVal(KEEP)},
        ),
        Action(
            'entry answer by a peer',
            {'peer has not heard': z3.Not(peer_knows)},
            {'cached': z3.IntVal(KEEP)},
        ),
        Action(
            'request arrives',
            {'address is held': cached > 0, 'none is in flight': flight == NONE_IN_FLIGHT},
            {
                'flight': z3.If(phase <= LEAVING, z3.IntVal(HARD), flight),
                'cut_off': z3.Or(cut_off, phase >= FINISHING),
            },
        ),
        Action(
            'request ends',
            {'one is in flight': flight >= 0},
            {'flight': z3.IntVal(NONE_IN_FLIGHT)},
        ),
        Action('stop', {'VM serves': phase == SERVING}, {'phase': z3.IntVal(LEAVING)}),
        Action(
            'gossip arrives', {'stop was announced': stopped}, {'peer_knows': z3.BoolVal(True)}
        ),
        Action(
            'serving time ends',
            {'VM leaves': phase == LEAVING, 'time is over': since_stop >= KEEP + SPREAD},
            {'phase': z3.IntVal(FINISHING)},
        ),
        Action(
            'exit',
            {'VM finishes': phase == FINISHING, 'nothing is in flight': flight == NONE_IN_FLIGHT},
            {'phase': z3.IntVal(EXITED), 'cut_off': z3.Or(cut_off, flight >= 0)},
        ),
        Action(
            'tick',
            {
                'gossip is in time': z3.Or(z3.Not(stopped), since_stop < SPREAD, peer_knows),
                'request is in time': flight != 0,
                'serving ends in time': z3.Or(phase != LEAVING, since_stop < KEEP + SPREAD),
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
        'nothing is cut off': z3.Not(cut_off),
        'stop is bounded': z3.Implies(since_stop > KEEP + SPREAD + HARD, phase == EXITED),
    }
    assumptions = frozenset(
        (
            'address is held',
            'none is in flight',
            'one is in flight',
            'VM serves',
            'stop was announced',
            'VM leaves',
            'VM finishes',
            'peer has not heard',
            'gossip is in time',
            'request is in time',
            'serving ends in time',
            'exit is in time',
        )
    )
    return Spec('stopping', variables, initial, actions, invariants, assumptions)
