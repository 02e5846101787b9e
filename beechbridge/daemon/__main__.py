"""Entry point of `beechbridged`."""

from .main import run

if __name__ == '__main__':
    run()
