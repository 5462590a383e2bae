#!/bin/bash
# Builds what the scripts of the third review start, beside the program of the deploy file, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/_harness3
