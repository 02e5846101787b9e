"""Validation of external input, with failures that name the field."""

import re
import tomllib

import msgspec

from .failures import Failure, InputFailure, Reason, not_run

ERROR_PATTERN = re.compile(r'^(?P<allowed>.*?)(?: - at `\$?(?P<path>[^`]*)`)?$', re.DOTALL)
UNKNOWN_FIELD = re.compile(r'^Object contains unknown field `(?P<name>[^`]*)`')
MISSING_FIELD = re.compile(r'^Object missing required field `(?P<name>[^`]*)`')
PATH_STEP = re.compile(r'\.([^.\[\]]+)|\[(\d+)\]')


def convert(
    value: object, target_type: type, source: str, prefix: str = ''
) -> object | InputFailure:
    """Convert a plain value to a type; return an instance or a failure."""
    try:
        return msgspec.convert(value, type=target_type)
    except msgspec.ValidationError as error:
        return describe_error(error, source, value, prefix)


def decode_json(text: bytes, target_type: type, source: str) -> object | InputFailure:
    """Decode JSON text as a type; return an instance or a failure."""
    try:
        value = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return InputFailure(source, 'body', shorten(text), f'JSON ({error})')
    return convert(value, target_type, source)


def decode_toml(text: str, target_type: type, source: str) -> object | InputFailure:
    """Decode TOML text as a type; return an instance or a failure."""
    try:
        value = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Not only a TOMLDecodeError: a number of thousands of digits is a plain ValueError.
        return InputFailure(source, 'file', shorten(text.encode()), f'TOML ({error})')
    return convert(value, target_type, source)


def describe_error(error: Exception, source: str, value: object, prefix: str = '') -> InputFailure:
    """Convert a validation error to a failure with the field, its value and what is allowed."""
    match = ERROR_PATTERN.match(str(error))
    path = match['path'] or ''
    allowed = match['allowed']
    unknown = UNKNOWN_FIELD.match(allowed)
    missing = MISSING_FIELD.match(allowed)
    if unknown is not None:
        path = f'{path}.{unknown["name"]}'
        allowed = 'no field of this name'
    if missing is not None:
        path = f'{path}.{missing["name"]}'
        allowed = 'a value; the field is required'
    field = (prefix + path).lstrip('.') or 'document'
    return InputFailure(source, field, find_value(value, path), allowed)


def describe_read_error(error: Exception, file: str, advice: str) -> Failure:
    """
    Convert an error from reading a file to a failure.

    :param file: kind and path of the file
    :param advice: what the user should do
    """
    reason = getattr(error, 'strerror', None) or error
    return not_run(Reason.INVALID_INPUT, f'cannot read {file}: {reason}; {advice}')


def find_value(value: object, path: str) -> object:
    """Return the value at a path such as `.replicas[2].port`, or None."""
    for name, index in PATH_STEP.findall(path):
        if name and isinstance(value, dict):
            value = value.get(name)
            continue
        if index and isinstance(value, list) and int(index) < len(value):
            value = value[int(index)]
            continue
        return None
    if isinstance(value, (dict, list)):
        return type(value).__name__
    return value


def shorten(text: bytes, size: int = 40) -> str:
    """Decode a text for an error message; keep at most `size` bytes of it."""
    start = text[:size].decode('utf-8', 'replace')
    return start if len(text) <= size else f'{start}...'
