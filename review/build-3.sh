#!/bin/sh
# Builds the stand-ins of the cases in review/REPORT-3.md into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand3 ./review/stand3
