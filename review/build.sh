#!/bin/sh
# Checks that the stand-ins of the cases are complete.  They are Python
# programs that use the standard library only.
cd "$(dirname "$0")" || exit 1
for file in *.py [1-5]/case.py; do
    python3 -B -c "compile(open('$file').read(), '$file', 'exec')" || exit 1
done
for name in clients deployments http_calls instances memory_limits records \
    settings_template; do
    python3 -B -c "import $name" || exit 1
done
