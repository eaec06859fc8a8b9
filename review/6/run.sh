#!/usr/bin/env bash
# Adds a service of engines and a route to it. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] && [ -x target/lupinkeel ] || exit 2
exec target/review2 -case second-service -out review/6
