# Sourced by the run.sh of each case, which sets `number`: runs the case on the program of the deploy file.
set -u
cd "$(dirname "$0")/../.." || exit 2
root=$(pwd)
CASE_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
CASE_TEMP=$(mktemp -d) || exit 2
CASE_RECORD="$root/review/$number/record.txt"
TMPDIR="$CASE_TEMP"
export CASE_RUN CASE_TEMP CASE_RECORD TMPDIR
driver=
trap 'rm -rf "$CASE_TEMP"' EXIT
trap '[ -z "$driver" ] || kill -KILL "$driver" 2>/dev/null; exit 2' HUP INT TERM
[ -x "build-review-2/case-$number" ] || { echo "review/build-2.sh has not run"; exit 2; }
# It ends by itself after 110 s, or with this script; the front node ends with it.
"build-review-2/case-$number" &
driver=$!
wait "$driver"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
