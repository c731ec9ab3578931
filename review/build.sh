#!/bin/sh
# Builds what the scripts of the cases start beside the node: one program that holds the clients, the
# stand-ins and the checks.
set -e
cd "$(dirname "$0")/.."
go build -o bin/review-trial ./review/_trial
