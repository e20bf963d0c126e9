#!/usr/bin/env bash
# Starts a deployment as separate processes on loopback addresses, runs clients against it, and stops all processes. The
# exit status is 1 when a client, a command or the stop of a process failed; the logs are kept in that case.
set -u
cd "$(dirname "$0")/.."
deployment=deploy/office
base=21000
logs=$(mktemp -d)
declare -A names_by_pid
# Process IDs, the last one started first.
stop_order=()

start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  names_by_pid[$!]=$name
  stop_order=("$!" "${stop_order[@]}")
}

start platform bin/standin platform -settings $deployment/platform.json
for f in "$deployment"/balancer-*.json; do
  start "$(basename "$f" .json)" bin/balancer -settings "$f"
done
for f in "$deployment"/sidecar-*.json; do
  start "$(basename "$f" .json)" bin/sidecar -settings "$f"
done
for f in "$deployment"/upstream-*.json; do
  start "$(basename "$f" .json)" bin/standin upstream -settings "$f"
done
start fabric bin/standin fabric -settings $deployment/fabric.json

export LANDING_PLATFORM=127.0.0.1:$base
export LANDING_BALANCERS=127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12)),127.0.0.1:$((base + 13))
status=0
echo "== lists"
bin/landingctl apply $deployment/lists.json || status=1
echo "== clients"
bin/standin client -requests 127.0.0.1:$((base + 40)) -download 127.0.0.1:$((base + 44)) -refused 127.0.0.1:$((base + 45)) || status=1
echo "== fleet"
bin/landingctl status || status=1
echo "== stop"
stopped=0
for pid in "${stop_order[@]}"; do
  kill -TERM "$pid"
done
for pid in "${stop_order[@]}"; do
  if wait "$pid"; then
    stopped=$((stopped + 1))
  else
    echo "${names_by_pid[$pid]} ended with a failure; its log:"
    tail -n 20 "$logs/${names_by_pid[$pid]}.log"
    status=1
  fi
done
echo "$stopped of ${#stop_order[@]} processes ended with status 0"
[ $status -eq 0 ] && rm -r "$logs"
exit $status
