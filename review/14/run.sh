#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# the disruption is left out. Writes record.txt into this folder.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-standin3 ] && [ -x target/balsamfork-flowd ] || exit 2
exec target/review-standin3 cold "$here"
