"""Run the command-line tool."""

from __future__ import annotations

import sys

import orjson
import yaml
from absl import app, flags
from tornado.httpclient import HTTPClient, HTTPClientError

FLAGS = flags.FLAGS
flags.DEFINE_string("admin_url", "http://127.0.0.1:7001", "Address of the admin API.")
flags.DEFINE_string("operator_key", "", "Operator key.")

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


def put_record(path: str) -> int:
    """Write every record in a YAML file."""
    http = HTTPClient()
    with open(path, encoding="utf-8") as file:
        records = list(yaml.safe_load_all(file))
    for record in records:
        url = f"{FLAGS.admin_url}/v1/records/{record['kind']}/{record['name']}"
        body = {"schema_version": record["schema_version"], "body": record["body"]}
        try:
            answer = http.fetch(
                url,
                method="PUT",
                headers={"X-Operator-Key": FLAGS.operator_key},
                body=orjson.dumps(body),
            )
        except HTTPClientError as exc:
            print(exc.response.body.decode() if exc.response else exc, file=sys.stderr)
            return EXIT_REFUSED
        revision = orjson.loads(answer.body)["revision"]
        print(f"{record['kind']} {record['name']} is at revision {revision}")
    return EXIT_OK


def main(argv: list[str]) -> int:
    """Run the verb named on the command line."""
    if argv[1:3] == ["put", "record"] and len(argv) == 4:
        return put_record(argv[3])
    print("usage: baobabhoist put record FILE", file=sys.stderr)
    return EXIT_USAGE


def run() -> None:
    """Be the entry point of the command."""
    app.run(main)


if __name__ == "__main__":
    run()
