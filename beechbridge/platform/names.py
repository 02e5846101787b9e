"""Names of the platform's headers, paths, store keys and environment variables."""

REQUEST_ID = 'Beechbridge-Request-Id'
TIMEOUT = 'Beechbridge-Deadline-Ms'
"""Remaining time in milliseconds that the sender will wait; a duration, not a point in time."""

SIGNATURE = 'Beechbridge-Server-Stamp'
EXPECTED_REPLICA = 'Beechbridge-Expect-Instance'
REJECTED = 'Beechbridge-Not-Run'
PART_SIGNATURES = 'Beechbridge-Part-Stamps'
MISSING_PARTS = 'Beechbridge-Missing-Parts'

STORE_EPOCH = 'Store-Era'
"""In every answer of the store: rises by one when the store was restored from an older copy."""

READINESS_PATH = '/readyz'
DIRECTORY_PATH = '/lookup'

TABLE_KEY = 'op/config'
REPLICAS_PREFIX = 'servers/'

SETTINGS_VARIABLE = 'BEECHBRIDGE_SETTINGS'
"""Environment variable with the path of the settings file."""
