#!/usr/bin/env bash
# Builds the program of the scripted cases 4 to 8, with the project's stand-ins in it. The nodes are built by the
# build line of the deploy file.
set -euo pipefail
cd "$(git rev-parse --show-toplevel 2>/dev/null || dirname "$0")"
[ -d review ] || cd ..
go build -o target/review-kit ./review/_kit
