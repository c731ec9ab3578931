#!/usr/bin/env bash
# Builds the program of the scripted cases 4 to 8, with the project's stand-ins in it. The nodes are built by the
# build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-kit ./review/_kit
