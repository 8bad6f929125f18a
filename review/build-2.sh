#!/bin/bash
# Builds what the cases 6 to 10 start beside the programs of the deploy file. Their stand-ins are parts of one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./review/cases2
