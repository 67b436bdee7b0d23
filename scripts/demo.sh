#!/usr/bin/env bash
# Runs both deployments as separate processes on the loopback interface, sends requests
# and compares the responses to the callers with the requests that the stand-ins ran.
# The last line of the output is a JSON object. The exit status is not zero if a request
# ran twice, was lost or had its stream cut.
set -euo pipefail
cd "$(dirname "$0")/.."

REQUESTS=${REQUESTS:-2000}
bin=$PWD/bin
dir=$(mktemp -d)
pids=()

stop() {
  # Signals routers and agents before the stand-ins, because they finish running
  # requests.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[i]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop EXIT

start() { # log file, command...
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
}

start_deployment() { # name, base port
  local d=$dir/$1
  "$bin/arbutus-load" demo-files --deployment "$1" --dir "$d" --base-port "$2"
  start "$d/standin.log" "$bin/arbutus-standin" --settings "$d/standin.json"
  for f in "$d"/settings/agent-*.json; do
    start "${f%.json}.log" "$bin/arbutus-agent" --settings "$f"
  done
  for f in "$d"/settings/router-*.json; do
    start "${f%.json}.log" "$bin/arbutus-router" --settings "$f" --stop-timeout 10s
  done
}

apply_rules() { # name
  local d=$dir/$1
  # shellcheck disable=SC1091
  . "$d/demo.env"
  "$bin/arbutus-load" await "$STANDIN_ADMIN/"
  "$bin/arbutusctl" check "$d/site.rules"
  "$bin/arbutusctl" --store "$STORE" apply --base 0 --who demo --why "first rules" "$d/site.rules"
  for admin in ${ROUTER_ADMINS//,/ }; do "$bin/arbutus-load" await "$admin/readyz"; done
}

show_status() { # name
  # shellcheck disable=SC1090
  . "$dir/$1/demo.env"
  "$bin/arbutusctl" --router "$ROUTER_GRPC" status --all
}

send() { # name, rate
  local d=$dir/$1
  # shellcheck disable=SC1090
  . "$d/demo.env"
  "$bin/arbutus-load" --deployment "$DEPLOYMENT" --router="$ROUTERS" --audit="$STANDIN_ADMIN" \
    --requests "$REQUESTS" --rate "$2" --duration 60s --save "$d/run.json" >"$d/report.txt" 2>"$d/progress.txt"
}

start_deployment kaayal 21000
start_deployment picha 22000
apply_rules kaayal
apply_rules picha
sleep 2 # time for gossip to spread the agents' addresses
show_status kaayal
send kaayal 80 &
kaayal=$!
send picha 60 &
picha=$!
wait $kaayal
wait $picha
for d in kaayal picha; do
  echo
  echo "== $d"
  cat "$dir/$d/report.txt"
done
echo
echo "== both"
"$bin/arbutus-load" combine --check "$dir/kaayal/run.json" "$dir/picha/run.json"
