"""
Transition systems, their unbounded proofs, and shortest counterexamples.

A specification has state variables, named actions with named guards, and invariants. Spacer (Z3's
fixed-point engine) proves that no reachable state violates an invariant, without a bound on depth.
A mutant is the specification without one of its guards; a bounded search finds its shortest
counterexample, which is printed step by step.
"""

import z3

from beechbridge.record import Record

MAX_DEPTH = 25
PROOF_TIMEOUT_MS = 400_000
"""Five times the duration of the longest proof, `extra_attempts`, on a loaded machine."""


class Action(Record):
    """
    A kind of transition.

    :param guards: conditions by name; all must hold
    :param updates: values after the transition by variable; other variables are unchanged
    """

    __slots__ = ('guards', 'name', 'updates')

    def __init__(self, name: str, guards: dict[str, z3.BoolRef], updates: dict[str, z3.ExprRef]):
        self.name = name
        self.guards = guards
        self.updates = updates


class Spec:
    """
    A transition system.

    :param variables: Z3 constants by name
    :param initial: condition on the initial state
    :param invariants: conditions by name that hold in every reachable state
    :param assumptions: guards that describe the environment; they have no mutants
    :param lemmas: conditions that make the invariants inductive, where Spacer is too slow
    """

    def __init__(
        self,
        name: str,
        variables: dict[str, z3.ExprRef],
        initial: z3.BoolRef,
        actions: list[Action],
        invariants: dict[str, z3.BoolRef],
        assumptions: frozenset[str] = frozenset(),
        lemmas: tuple[z3.BoolRef, ...] = (),
    ):
        self.name = name
        self.variables = variables
        self.initial = initial
        self.actions = actions
        self.invariants = invariants
        self.assumptions = assumptions
        self.lemmas = lemmas

    def mutants(self) -> list['Spec']:
        """Return one specification per guard that is not an assumption, without that guard."""
        found = []
        for number, action in enumerate(self.actions):
            for guard in action.guards:
                if guard in self.assumptions:
                    continue
                guards = {key: value for key, value in action.guards.items() if key != guard}
                actions = list(self.actions)
                actions[number] = Action(action.name, guards, action.updates)
                name = f'{self.name} without "{guard}" of {action.name}'
                found.append(Spec(name, self.variables, self.initial, actions, self.invariants))
        return found

    def variable_names(self) -> list[str]:
        """Return the names of the variables in order."""
        return list(self.variables)

    def at_step(self, expression: z3.ExprRef, step: int) -> z3.ExprRef:
        """Return an expression with its variables replaced by those of the given step."""
        pairs = []
        for name, variable in self.variables.items():
            pairs.append((variable, z3.Const(f'{name}@{step}', variable.sort())))
        return z3.substitute(expression, *pairs)

    def transition(self, action: Action, step: int) -> z3.BoolRef:
        """Return the transition relation of an action between a step and the next one."""
        parts = [self.at_step(guard, step) for guard in action.guards.values()]
        for name, variable in self.variables.items():
            value = action.updates.get(name, variable)
            after = z3.Const(f'{name}@{step + 1}', variable.sort())
            parts.append(after == self.at_step(value, step))
        return z3.And(*parts)

    def violation(self) -> z3.BoolRef:
        """Return the condition that an invariant does not hold."""
        return z3.Not(z3.And(*self.invariants.values()))


class Step(Record):
    """
    One step of a trace.

    :param action: name of the action, or 'start' for the initial state
    :param changes: values by name of the variables that changed
    """

    __slots__ = ('action', 'changes')

    def __init__(self, action: str, changes: dict[str, str]):
        self.action = action
        self.changes = changes


def prove(spec: Spec) -> bool:
    """Return whether no reachable state violates an invariant, at any depth."""
    return prove_by_induction(spec) if spec.lemmas else prove_by_spacer(spec)


def prove_by_induction(spec: Spec) -> bool:
    """Return whether the lemmas and invariants hold initially and after every inductive step."""
    holds = z3.And(*spec.lemmas, *spec.invariants.values())
    solver = z3.Solver()
    solver.add(spec.at_step(spec.initial, 0), z3.Not(spec.at_step(holds, 0)))
    if solver.check() != z3.unsat:
        return False
    for action in spec.actions:
        solver = z3.Solver()
        solver.add(
            spec.at_step(holds, 0), spec.transition(action, 0), z3.Not(spec.at_step(holds, 1))
        )
        if solver.check() != z3.unsat:
            return False
    return True


def prove_by_spacer(spec: Spec) -> bool:
    """Return whether the invariants hold; Spacer finds the lemmas itself."""
    engine = z3.Fixedpoint()
    engine.set(engine='spacer', timeout=PROOF_TIMEOUT_MS)
    before = list(spec.variables.values())
    after = [z3.Const(f"{name}'", variable.sort()) for name, variable in spec.variables.items()]
    engine.declare_var(*before, *after)
    sorts = [variable.sort() for variable in before]
    reachable = z3.Function('reachable', *sorts, z3.BoolSort())
    error = z3.Function('error', z3.BoolSort())
    engine.register_relation(reachable, error)
    engine.rule(reachable(*before), spec.initial)
    for action in spec.actions:
        values = [action.updates.get(name, spec.variables[name]) for name in spec.variable_names()]
        conditions = [reachable(*before), *action.guards.values()]
        conditions += [one == value for one, value in zip(after, values, strict=True)]
        engine.rule(reachable(*after), conditions)
    engine.rule(error(), [reachable(*before), spec.violation()])
    verdict = engine.query(error())
    if verdict == z3.unknown:
        raise TimeoutError(f'{spec.name}: {engine.reason_unknown()}')
    return verdict == z3.unsat


def find_trace(spec: Spec, max_depth: int = MAX_DEPTH) -> list[Step] | None:
    """Return a shortest trace that violates an invariant, or None if none is that short."""
    solver = z3.Solver()
    solver.add(spec.at_step(spec.initial, 0))
    for depth in range(max_depth + 1):
        solver.push()
        solver.add(spec.at_step(spec.violation(), depth))
        if solver.check() == z3.sat:
            return read_trace(spec, solver.model(), depth)
        solver.pop()
        chosen = z3.Int(f'action@{depth}')
        cases = []
        for number, action in enumerate(spec.actions):
            cases.append(z3.And(chosen == number, spec.transition(action, depth)))
        solver.add(z3.Or(*cases))
    return None


def read_trace(spec: Spec, model: z3.ModelRef, depth: int) -> list[Step]:
    """Return the trace in a Z3 model of the unrolled system."""
    trace = []
    before: dict[str, str] = {}
    for step in range(depth + 1):
        name = 'start'
        if step:
            number = model.eval(z3.Int(f'action@{step - 1}'), model_completion=True)
            name = spec.actions[number.as_long()].name
        state = {}
        for key, variable in spec.variables.items():
            value = model.eval(z3.Const(f'{key}@{step}', variable.sort()), model_completion=True)
            state[key] = str(value)
        changes = {key: value for key, value in state.items() if before.get(key) != value}
        trace.append(Step(name, changes))
        before = state
    return trace


def format_trace(spec: Spec, trace: list[Step]) -> str:
    """Return a trace as text, one line per step."""
    lines = []
    for number, step in enumerate(trace):
        changes = ', '.join(f'{name} = {value}' for name, value in step.changes.items())
        lines.append(f'  {number:>2}. {step.action:<28}{changes}')
    return '\n'.join(lines)


def saturate(count: z3.ArithRef, maximum: int) -> z3.ArithRef:
    """Return a count plus one, limited to a maximum to keep the state space finite."""
    return z3.If(count < maximum, count + 1, count)
