#!/usr/bin/env bash
# Runs case 8 on the build of the deploy file and of review/build-2.sh. It exits with 1 if the rule was
# broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the replacements.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lupinkeel ] && [ -x target/review3/replaced ] || exit 2
exec target/review3/replaced review/8/record.txt
