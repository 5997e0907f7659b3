#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it leaves
# out the disruption. Needs the build of the deploy file and of review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
[ -x target/greengagelane ] && [ -x review/bin/stand2 ] || { echo "not built"; exit 2; }
exec review/bin/stand2 waiting target/greengagelane review/10/record.txt
