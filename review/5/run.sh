#!/usr/bin/env bash
# Plays the case of this folder: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
exec python3 "$(dirname "$0")/case.py"
