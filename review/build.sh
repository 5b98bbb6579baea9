#!/bin/sh
# Checks that the stand-ins of the cases are complete.  They are Python
# programs that use the standard library only.
cd "$(dirname "$0")" || exit 1
for file in common/*.py [1-5]/case.py; do
    python3 -c "compile(open('$file').read(), '$file', 'exec')" || exit 1
done
for name in clients deployment http instances memory record template; do
    python3 -c "import common.$name" || exit 1
done
