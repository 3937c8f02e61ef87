#!/bin/sh
# An executor crashes and starts again under its id; later it is lost for good. Takes about 65 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sycamorerilld ] && [ -x target/review/release/review-standin ] || exit 2
exec target/review/release/review-standin crash-then-lost "$PWD" review/4
