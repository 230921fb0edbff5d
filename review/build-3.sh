#!/usr/bin/env bash
# Builds the stand-ins of review/11 and on: one program with the store, the workers, the clients and the cases. Run it in the
# project's root after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
GOPROXY=off go build -tags review3 -o target/standins-3 ./review/standins-3
