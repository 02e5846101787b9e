"""Names of the platform's headers, calls and keys."""

REQUEST_ID = 'Beechbridge-Request-Id'
TIMEOUT = 'Beechbridge-Deadline-Ms'
"""Milliseconds that the sender will still wait, a span and not a moment."""

SIGNATURE = 'Beechbridge-Server-Stamp'
EXPECTED_REPLICA = 'Beechbridge-Expect-Instance'
REJECTED = 'Beechbridge-Not-Run'
PART_SIGNATURES = 'Beechbridge-Part-Stamps'
MISSING_PARTS = 'Beechbridge-Missing-Parts'

READINESS_PATH = '/readyz'
DIRECTORY_PATH = '/lookup'

TABLE_KEY = 'op/config'
REPLICAS_PREFIX = 'servers/'

SETTINGS_VARIABLE = 'BEECHBRIDGE_SETTINGS'
"""Environment variable that holds the path of the settings file."""
