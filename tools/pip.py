"""Runs pip, and says in one line what to do when it fails."""

import platform
import re
import subprocess
import sysconfig
from collections.abc import Callable
from pathlib import Path

UNREACHABLE = (
    (
        re.compile('SSLError'),
        'pip does not trust the certificate of the package index: set PIP_CERT to a file with the'
        ' certificates of your network',
    ),
    (
        re.compile(
            'NewConnectionError|ConnectTimeoutError|ReadTimeoutError|ProxyError'
            '|Max retries exceeded|RemoteDisconnected|ConnectionResetError'
        ),
        'the package index cannot be reached: check the network, the proxy and the index that'
        ' `pip config list` shows',
    ),
)
"""Patterns in pip's log, and what to do; pip itself says only that it found no version."""

MISSING = (
    re.compile(r'No matching distribution found for (\S+)'),
    re.compile(r'The user requested \(constraint\) (\S+)'),
)


class SetupError(Exception):
    """The set-up failed; the message is one line that says what to do."""


class UnreachableError(SetupError):
    """The package index cannot be reached."""


class MissingError(SetupError):
    """The package index lacks a package."""


class Pip:
    """
    The pip of one interpreter.

    :param python: the interpreter
    :param log: file for pip's log of the last run
    :param run: runs a command, as `subprocess.run` does
    """

    __slots__ = ('log', 'python', 'run')

    def __init__(self, python: Path, log: Path, run: Callable = subprocess.run):
        self.python = python
        self.log = log
        self.run = run

    def install(self, *arguments: str, machine: str = '', cwd: Path | None = None) -> None:
        """
        Run `pip install`.

        :param machine: what the wheels have to fit, if not this machine
        """
        self.log.parent.mkdir(parents=True, exist_ok=True)
        self.log.unlink(missing_ok=True)
        command = [str(self.python), '-m', 'pip', 'install', '--disable-pip-version-check']
        done = self.run(
            [*command, '--quiet', '--log', str(self.log), *arguments],
            cwd=cwd,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
        )
        if done.returncode:
            raise self.explain(done.stderr, machine or describe_machine())

    def explain(self, output: str, machine: str) -> SetupError:
        """Return the error for a failed run."""
        log = output
        if self.log.exists():
            log += self.log.read_text(encoding='utf-8', errors='replace')
        hint = f"(pip's log is {self.log})"
        for pattern, advice in UNREACHABLE:
            if pattern.search(log):
                return UnreachableError(f'{advice} {hint}')
        for pattern in MISSING:
            match = pattern.search(log)
            if match:
                return MissingError(
                    f'the package index has no wheel of {match[1]} that fits {machine} and'
                    ' pyproject.toml: use an index that has it (PIP_INDEX_URL) or a system that'
                    f' README.md names, or `make constraints` after a change of versions {hint}'
                )
        return SetupError(f'pip failed: {last_line(output)} {hint}')


def describe_machine() -> str:
    """Return the interpreter, the platform and the C library that a wheel has to fit."""
    libc = ' '.join(platform.libc_ver())
    return f'Python {platform.python_version()} on {sysconfig.get_platform()} ({libc})'


def last_line(output: str) -> str:
    """Return the last line of an error message that is not empty."""
    lines = [line.strip() for line in output.splitlines() if line.strip()]
    return lines[-1] if lines else 'no output'
