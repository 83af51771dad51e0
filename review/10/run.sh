#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
number=10
. "$(dirname "$0")/../standin-2/run.sh"
