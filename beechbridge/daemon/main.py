"""The program `beechbridged`: reads the settings file and runs one daemon."""

import signal
import sys
import threading
from pathlib import Path

import logbook
from absl import app, flags

from ..core.policy import POLICIES
from ..failures import Failure
from ..status import ExitStatus
from .server import Daemon
from .settings import load_settings

FLAGS = flags.FLAGS
LOG_FORMAT = '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.message}'


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_string('settings', None, 'path of the settings file (TOML)', required=True)
    flags.DEFINE_enum(
        'policy',
        'current',
        sorted(POLICIES),
        'load control policy; change it only for experiments',
    )


def main(arguments: list[str]) -> ExitStatus:
    """Serve until SIGTERM or SIGINT arrives, then stop gracefully."""
    settings = load_settings(Path(FLAGS.settings))
    if isinstance(settings, Failure):
        print(f'beechbridged: {settings.detail}', file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
    logbook.StreamHandler(sys.stderr, format_string=LOG_FORMAT).push_application()
    try:
        daemon = Daemon(settings, policy=POLICIES[FLAGS.policy])
    except OSError as error:
        print(
            f'beechbridged: cannot listen: {error}; check host and ports in [vm]', file=sys.stderr
        )
        return ExitStatus.CANNOT_LISTEN
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    daemon.start()
    stop_requested.wait()
    daemon.request_stop()
    daemon.exit_requested.wait()
    daemon.finish()
    return ExitStatus.OK


def run() -> None:
    """Parse the flags and run the daemon."""
    define_flags()
    app.run(main)
