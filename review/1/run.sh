#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[[ -x target/review/rig && -x target/system/pebblepost-system ]] || {
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
}
# The rig ends what it started; if it is itself ended before, its processes are ended here by their ids.
rig=
end() {
  [[ -n $rig ]] || return 0
  local folder=${TMPDIR:-/tmp}/pebblepost-review-$rig
  kill -KILL "$rig" 2> /dev/null
  [[ -f $folder/pids ]] && xargs -r kill -KILL < "$folder/pids" 2> /dev/null
  rm -rf "$folder"
}
trap 'end; exit 2' INT TERM
target/review/rig group-clock "$here/record.txt" &
rig=$!
wait "$rig"
code=$?
rig=
exit "$code"
