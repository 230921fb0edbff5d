#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. They use the standard library only. The project's own program is
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../../target/review-standins .
