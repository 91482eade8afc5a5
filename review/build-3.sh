#!/bin/sh
# The stand-ins of the cases 11 to 15 need nothing but Python 3.11 or later; this checks them.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for folder in review/standins3 review/11 review/12 review/13 review/14 review/15; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
