#!/bin/sh
# The stand-ins of the cases 6 to 10 need nothing but Python 3.11 or later; this checks them.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
