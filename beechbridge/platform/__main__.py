"""Program on the users' platform: `python3 -m beechbridge.platform`."""

import signal
import sys

from ..failures import Failure
from ..status import ExitStatus


def main() -> ExitStatus:
    """Read the platform's settings and serve."""
    # A reload that is asked for during the imports would end the process. The settings are read
    # after it, so that nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ..daemon.gateway import run_gateway
    from .settings import load_settings

    settings = load_settings()
    if isinstance(settings, Failure):
        print(f'beechbridge: {settings.detail}', file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
    return run_gateway(settings, load_settings)


if __name__ == '__main__':
    sys.exit(main())
