"""Base class of plain data classes."""


class Record:
    """Gives classes with slots equality by value and a readable representation."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    __hash__ = None

    def __repr__(self) -> str:
        fields = ', '.join(f'{name}={getattr(self, name)!r}' for name in self.__slots__)
        return f'{type(self).__name__}({fields})'
