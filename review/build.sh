#!/bin/sh
# Builds the stand-ins of all cases; the program itself is built by `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/standin
