"""Publish files to a running site or inject a fault.

`python -m fuchsiaspread_standins.site_control EXAMPLE publish DIRECTORY`
`python -m fuchsiaspread_standins.site_control EXAMPLE fault stop entry-1`
"""

import sys
from pathlib import Path

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel
from tornado.httpclient import HTTPClient, HTTPClientError

from .internal.deployment import configured_octet
from .site import AnswerBody, FaultBody, PublishBody, control_endpoint

# A graceful stop of an entry VM takes up to 20 s.
ANSWER_LIMIT_S = 30.0
USAGE = """usage: python -m fuchsiaspread_standins.site_control EXAMPLE publish DIRECTORY
       python -m fuchsiaspread_standins.site_control EXAMPLE fault STEP
steps: stop|kill|start|freeze|thaw ENTRY, isolate ZONE, hide platform from ENTRY, heal,
       platform down|stale|healthy, target NAME silent|resets|restarts|serves"""


def read_files(folder: Path) -> PublishBody:
    """Read the base file and the overlay of a directory.

    Errors: OSError if one of them is missing.
    """
    overlays = sorted((folder / "sites").glob("*.yaml"))
    if not overlays:
        raise FileNotFoundError(
            f"{folder}/sites: no overlay (*.yaml) found; copy the whole directory"
        )
    return PublishBody(
        base=(folder / "base.yaml").read_text(encoding="utf-8"),
        overlay=overlays[0].read_text(encoding="utf-8"),
    )


def send(control: Endpoint, path: str, body: BaseModel) -> AnswerBody:
    """Send a request to a running site and return its answer."""
    client = HTTPClient()
    try:
        answer = client.fetch(
            f"http://{control.host}:{control.port}{path}",
            method="POST",
            body=body.model_dump_json(),
            request_timeout=ANSWER_LIMIT_S,
        )
        return AnswerBody.model_validate_json(answer.body)
    except (HTTPClientError, OSError) as error:
        problem = f"no answer from the site ({error}); start it with make site"
        return AnswerBody(is_done=False, text=problem)
    finally:
        client.close()


def main(arguments: list[str]) -> int:
    """Send one request; return 0 only if the site has carried it out."""
    match arguments:
        case [example, "publish", folder]:
            try:
                path, body = "/publish", read_files(Path(folder))
            except (OSError, UnicodeError) as error:
                print(f"{folder}: {error}")
                return 1
        case [example, "fault", *words] if words:
            path, body = "/fault", FaultBody(step=" ".join(arguments[1:]))
        case _:
            print(USAGE)
            return 2
    answer = send(control_endpoint(configured_octet(Path(example))), path, body)
    print(answer.text)
    return 0 if answer.is_done else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
