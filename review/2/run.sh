#!/usr/bin/env bash
# Plays the case that claim.txt describes; TROUBLE=0 leaves its disruption out. Exits with 1 if the rule was
# broken, with 0 if it held, and with 2 if the case could not run. KEEP_LOGS=1 keeps the logs of the entries.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x review/bin/stand ] && [ -x "${command%% *}" ] || { echo "build the programs first: the deploy file's, and review/build.sh"; exit 2; }
exec review/bin/stand ends review/2/record.txt "$command"
