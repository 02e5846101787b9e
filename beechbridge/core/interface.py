"""Interface of the core that its packages use: the controllers and a few methods."""

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
    from .requests.suspects import SuspectQueries
    from .tickets.controller import TicketsController
    from .timers import Timers
    from .upstreams.controller import UpstreamsController
    from .upstreams.health import HealthController


class CoreInterface(Protocol):
    """The core as seen by its packages; implemented by `node.Core`."""

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
    suspects: 'SuspectQueries'
    tickets: 'TicketsController'
    plans: 'dict[str, Plan]'

    def act(self, action: 'Action') -> None:
        """Queue an action for the driver."""

    def budget(self, back_end: str) -> 'ExtraBudget':
        """Return a back end's budget of extra attempts."""

    def overload_controller(self, back_end: str) -> 'OverloadController':
        """Return a back end's overload controller."""

    def reject_if_not_ready(self) -> 'Failure | None':
        """Return a rejection of new work if this process is not ready for it, else None."""

    def reject_if_no_view(self) -> 'Failure | None':
        """Return a rejection if the VM list or the configuration is not loaded yet, else None."""
