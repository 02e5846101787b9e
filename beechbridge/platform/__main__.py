"""Entry point on the users' platform: `python3 -m beechbridge.platform`."""

import os
import signal
import sys

from ..failures import Failure
from ..status import ExitStatus


def main() -> ExitStatus:
    """Load the platform's settings and run the gateway."""
    # By default, a SIGHUP (reload) during the imports would kill the process. It is safe to ignore
    # the signal here because the settings are read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ..daemon.early_listener import listen_early

    early = listen_early()
    from ..daemon.gateway import run_gateway
    from .settings import load_settings

    settings = load_settings()
    if isinstance(settings, Failure):
        print(f'beechbridge: {settings.detail}', file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
    return run_gateway(settings, load_settings, early)


if __name__ == '__main__':
    status = main()
    sys.stderr.flush()
    # Without tearing down the interpreter, which takes longer than a stop may have left.
    os._exit(status)
