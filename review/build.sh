#!/usr/bin/env bash
# Builds the stand-ins of the review. They are Python files that need the standard library only,
# so they are only compiled here; the nodes use what the build line of deploy/system.toml made.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 2; }
python3 -m compileall -q review
