"""Entry point of the program `beechbridged`."""

from .main import run

if __name__ == '__main__':
    run()
