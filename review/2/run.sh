#!/bin/sh
# Exits with 1 if a request was lost, 0 if none was, 2 if the case couldn't run. TROUBLE=0: no signals;
# TROUBLE=term: SIGTERM alone.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cherryward ] && [ -x bin/review-trial ] || exit 2
exec bin/review-trial hangup "$here/record.txt"
