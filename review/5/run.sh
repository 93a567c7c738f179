#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/balsamfork-flowd ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -scenario reborn -trouble=$trouble -record review/5/record.txt
