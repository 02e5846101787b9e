"""Counters of the core, exported as metrics and in the state dump."""


class Counters:
    """Monotonic counters by name and label."""

    __slots__ = ('values',)

    def __init__(self):
        self.values: dict[tuple[str, str], int] = {}

    def add(self, name: str, label: str = '', amount: int = 1) -> None:
        """Increase a counter."""
        key = (name, label)
        self.values[key] = self.values.get(key, 0) + amount

    def get(self, name: str, label: str = '') -> int:
        """Return a counter's value; 0 if it was never increased."""
        return self.values.get((name, label), 0)

    def total(self, name: str) -> int:
        """Return the sum of a counter over all its labels."""
        return sum(value for (key, _), value in self.values.items() if key == name)
