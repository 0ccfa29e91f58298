#!/bin/sh
# Runs the case "both" after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ingress ] && [ -x target/review-2/stand ] || exit 2
exec target/review-2/stand both review/7/record.txt
