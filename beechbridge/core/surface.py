"""What the rooms of the core may use of it: state by controller, and four ways to act."""

import random
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..actions import Action
    from ..failures import Failure
    from ..models import VmIdentity
    from .counters import Counters
    from .fleet.configuration import ConfigurationController
    from .fleet.membership import MembershipController
    from .fleet.stopping import StoppingController
    from .limits import Limits
    from .policy import Policy
    from .requests.budgets import ExtraBudget
    from .requests.overload import OverloadController
    from .requests.plans import Plan
    from .requests.snapshots import SnapshotsController
    from .tickets.controller import TicketsController
    from .timers import Timers
    from .upstreams.controller import UpstreamsController
    from .upstreams.health import HealthController


class CoreSurface(Protocol):
    """The core as its rooms see it; `node.Core` implements it."""

    now_ms: float
    place: str
    identity: 'VmIdentity'
    limits: 'Limits'
    policy: 'Policy'
    rng: random.Random
    timers: 'Timers'
    counters: 'Counters'
    configuration: 'ConfigurationController'
    membership: 'MembershipController'
    stopping: 'StoppingController'
    upstreams: 'UpstreamsController'
    health: 'HealthController'
    snapshots: 'SnapshotsController'
    tickets: 'TicketsController'
    plans: 'dict[str, Plan]'

    def act(self, action: 'Action') -> None:
        """Ask the driver for something."""

    def budget(self, back_end: str) -> 'ExtraBudget':
        """Return a back end's budget of extra sub-requests."""

    def overload_controller(self, back_end: str) -> 'OverloadController':
        """Return a back end's controller of overload."""

    def refuse_if_not_ready(self) -> 'Failure | None':
        """Refuse new work that this process cannot vouch for."""

    def refuse_if_no_view(self) -> 'Failure | None':
        """Refuse what needs the list of VMs and a configuration before they are there."""
