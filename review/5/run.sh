#!/usr/bin/env bash
# Plays the case against processes of the program. TROUBLE=0 leaves the disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattanring ] && [ -x target/review-stand ] || exit 2
exec target/review-stand restart review/5
