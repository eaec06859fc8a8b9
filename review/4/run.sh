#!/usr/bin/env bash
# Adds daemons to a site of twenty. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] && [ -x target/lupinkeel ] || exit 2
exec target/review2 -case joining-daemons -out review/4
