"""Description of unexpected exceptions for log lines."""

import traceback

MAX_DETAIL_CHARACTERS = 200


def describe_defect(error: BaseException) -> dict[str, str]:
    """Return log fields that name an unexpected exception and the line that raised it."""
    fields = {'error': type(error).__name__, 'detail': str(error)[:MAX_DETAIL_CHARACTERS]}
    frames = traceback.extract_tb(error.__traceback__)
    if frames:
        fields['at'] = f'{frames[-1].filename}:{frames[-1].lineno}'
    return fields
