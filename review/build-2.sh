#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin ./review/_standin-2
