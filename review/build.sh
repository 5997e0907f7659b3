#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. It needs no network: the module has no dependencies.
set -e
cd "$(dirname "$0")/stand"
go build -o ../bin/stand .
