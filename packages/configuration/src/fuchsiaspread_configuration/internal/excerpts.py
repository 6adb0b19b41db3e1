"""Short excerpts of values for error messages."""

import json
import re

MAX_EXCERPT_LENGTH = 60


def excerpt(value: object) -> str:
    """Return a value as short text for an error message."""
    return truncate_line(json.dumps(value) if isinstance(value, str) else str(value))


def truncate_line(text: str) -> str:
    """Collapse white space and truncate a text to the maximum length."""
    text = re.sub(r"\s+", " ", text)
    return text if len(text) <= MAX_EXCERPT_LENGTH else text[: MAX_EXCERPT_LENGTH - 3] + "..."
