#!/bin/sh
# Builds what the scripts of the second review start.
# Their stand-ins are plain Python and need no build; the project's programs
# need the build line of deploy/system.toml only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/deployment_2.py review/6/case.py \
    review/7/case.py review/8/case.py review/10/case.py
