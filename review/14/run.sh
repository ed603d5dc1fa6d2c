#!/usr/bin/env bash
# Runs case 14; TROUBLE=0 leaves the disruption out. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case-3.sh" "$here" PendingCount
