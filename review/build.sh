#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases use. The program under review is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_harness
