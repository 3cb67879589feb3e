#!/usr/bin/env bash
# TROUBLE=0 runs the case without the disruption; kill, drill and one run parts of it (claim.txt).
exec "$(dirname "$0")/../run-case.sh" review/1 versions_after_drill
