#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the gateway that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-lab ./review/lab
