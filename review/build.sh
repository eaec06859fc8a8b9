#!/bin/sh
# Builds the stand-ins of the review's scripts into target/. The daemons are built by the deploy
# file's own build line.
cd "$(dirname "$0")/.." && mkdir -p target && exec go build -tags review -o target/review-harness ./review
