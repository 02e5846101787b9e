"""Names of the platform's headers, paths, store keys and environment variables."""

REQUEST_ID = 'Beechbridge-Request-Id'
TIMEOUT = 'Beechbridge-Deadline-Ms'
"""Remaining time in milliseconds that the sender will wait; a duration, not a point in time."""

SIGNATURE = 'Beechbridge-Server-Stamp'
EXPECTED_REPLICA = 'Beechbridge-Expect-Instance'
REJECTED = 'Beechbridge-Not-Run'
PART_SIGNATURES = 'Beechbridge-Part-Stamps'
MISSING_PARTS = 'Beechbridge-Missing-Parts'

REPLICA_LIMIT = 'Server-Limit'
"""Requests per second that a replica accepts from all VMs together, for as long as it says so."""

REPLICA_LEAVING = 'Server-Leaving'
"""`1` in every answer of a replica that is about to stop."""

REPLICA_COLD = 'Beechbridge-Cold-Ms'
"""Milliseconds for which a replica stays cold, 0 if it is warm; not in every answer."""

REPLICA_LOAD = 'Beechbridge-Server-Load'
"""`running,waiting,slots` or `running,waiting,slots,pace` of a replica as it replies."""

RETRY_AFTER = 'Retry-After'
"""Seconds, which may include fractions; from a replica it concerns only the VM that it answers."""

STORE_EPOCH = 'Store-Era'
"""In every answer of the store: rises by one when the store was restored from an older copy."""

READINESS_PATH = '/readyz'
DIRECTORY_PATH = '/lookup'

TABLE_KEY = 'op/config'
REPLICAS_PREFIX = 'servers/'
EVACUATIONS_PREFIX = 'op/evacuate/'
"""Prefix of the items that each evacuate the data centre whose name follows."""


UNEVEN_LOAD_CONTRACTS = frozenset(('places', 'pressure'))
"""Sets of rules under which answers are timed by their latency goals, and replicas are chosen by
expected work."""

BALANCING_VARIABLE = 'BEECHBRIDGE_BALANCING'
"""Environment variable that says how replicas are chosen, whatever the settings file says."""

SETTINGS_VARIABLE = 'BEECHBRIDGE_SETTINGS'
"""Environment variable with the path of the settings file."""
