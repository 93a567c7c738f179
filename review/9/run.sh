#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamfork-flowd ] && [ -x target/standin2 ] || exit 2
exec target/standin2 cold review/9/record.txt
