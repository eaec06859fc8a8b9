#!/usr/bin/env bash
# Builds the stand-ins of cases 7 and 8.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/standins3/surplus ./review/standins3/born
