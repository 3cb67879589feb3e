#!/usr/bin/env bash
# TROUBLE=0 runs the case without the disruption.
exec "$(dirname "$0")/../run-case.sh" review/5 popular_request_blocked
