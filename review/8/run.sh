#!/usr/bin/env bash
# Runs the case. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec "$root/target/review-kit" handoff "$root/target/cherryward" "$here/record.txt"
