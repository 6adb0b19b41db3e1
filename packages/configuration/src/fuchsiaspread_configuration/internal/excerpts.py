"""Short forms of values for messages."""

import json
import re

MAX_SHOWN_CHARACTERS = 60


def shown(value: object) -> str:
    """Return a value as short text for a message."""
    return shortened(json.dumps(value) if isinstance(value, str) else str(value))


def shortened(text: str) -> str:
    """Return the beginning of a text on one line."""
    text = re.sub(r"\s+", " ", text)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."
