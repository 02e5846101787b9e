"""Program on the users' platform: `python3 -m beechbridge.platform`."""

import sys

from ..daemon.gateway import run_gateway
from ..failures import Failure
from ..status import ExitStatus
from .settings import load_settings


def main() -> ExitStatus:
    """Read the platform's settings and serve."""
    settings = load_settings()
    if isinstance(settings, Failure):
        print(f'beechbridge: {settings.detail}', file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
    return run_gateway(settings, load_settings)


if __name__ == '__main__':
    sys.exit(main())
