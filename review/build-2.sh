#!/bin/sh
# Builds the stand-in that the scripts of the second review start, review/bin/stand2. It needs no network: the module has no
# dependencies.
set -eu
cd "$(dirname "$0")/stand2"
go build -o ../bin/stand2 .
