"""The program `beechbridged`: settings file in, one serving process."""

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
    """Define the daemon's flags."""
    flags.DEFINE_string('settings', None, 'path of the settings file, in TOML', required=True)
    flags.DEFINE_enum('policy', 'current', sorted(POLICIES), 'policy, for experiments')


def main(arguments: list[str]) -> ExitStatus:
    """Serve until told to stop."""
    settings = load_settings(Path(FLAGS.settings))
    if isinstance(settings, Failure):
        print(f'beechbridged: {settings.detail}', file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
    logbook.StreamHandler(sys.stderr, format_string=LOG_FORMAT).push_application()
    try:
        daemon = Daemon(settings, policy=POLICIES[FLAGS.policy])
    except OSError as error:
        print(f'beechbridged: cannot listen: {error}', file=sys.stderr)
        return ExitStatus.CANNOT_LISTEN
    stop_wanted = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_wanted.set())
    daemon.start()
    stop_wanted.wait()
    daemon.request_stop()
    daemon.exit_wanted.wait()
    daemon.finish()
    return ExitStatus.OK


def run() -> None:
    """Run as a program."""
    define_flags()
    app.run(main)
