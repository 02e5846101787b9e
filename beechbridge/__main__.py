"""Entry point of `python -m beechbridge`."""

from .cli.main import run

if __name__ == '__main__':
    run()
