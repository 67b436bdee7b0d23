#!/usr/bin/env bash
# Measures the cost of the data path with processes on the loopback interface: one
# router, two agents and stand-in engines. Writes the measured costs to the file named
# by the first argument. Takes less than a minute. BASE_PORT is the first of the 800
# ports used.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:?usage: scripts/data-path.sh FILE}
base=${BASE_PORT:-24000}
dir=$(mktemp -d)
pids=()

stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT

go build -o "$dir/" ./cmd/arbutus-router ./cmd/arbutus-agent ./cmd/arbutus-standin \
  ./cmd/arbutus-load ./cmd/arbutus-bench ./cmd/arbutusctl
"$dir/arbutus-load" demo-files --deployment kaayal --dir "$dir/demo" --base-port "$base" \
  --workers 2 --service-workers 1
# Gives the engines the capacity for the concurrent streams that the capacity target
# assigns to one endpoint: a batch of 256 with one token per stream every 25 ms.
sed -i 's|"cache_blocks": 512,|"cache_blocks": 16384, "max_running": 256, "chunk_tokens": 8192, "step": "25ms", "per_decode": "1µs",|; s|"per_prefill_token": "100µs"|"per_prefill_token": "1µs"|' "$dir/demo/standin.json"
sed -i 's|"url": |"max_running": 256, "url": |' "$dir"/demo/settings/agent-llm-*.json
. "$dir/demo/demo.env"

start() {
  "$@" >"$dir/log-${#pids[@]}" 2>&1 &
  pids+=($!)
}

ready() {
  if "$dir/arbutus-load" await "$1"; then return; fi
  tail -n 5 "$dir"/log-* >&2
  exit 1
}

start "$dir/arbutus-standin" --settings "$dir/demo/standin.json"
sleep 0.5
"$dir/arbutusctl" --store "$STORE" apply --base 0 --who capacity --why "data path" "$dir/demo/site.rules" >"$dir/apply"
router="http://127.0.0.1:$((base + 700))"
agents="http://127.0.0.1:$((base + 400)),http://127.0.0.1:$((base + 401))"
start "$dir/arbutus-router" --settings "$dir/demo/settings/router-kochi-a-1.json"
start "$dir/arbutus-agent" --settings "$dir/demo/settings/agent-llm-01.json"
start "$dir/arbutus-agent" --settings "$dir/demo/settings/agent-llm-02.json"
for address in "$router" ${agents//,/ }; do ready "$address/readyz"; done
# Time for the processes to join the cluster and to read the caches.
sleep 3
"$dir/arbutus-bench" capacity --router "${ROUTERS%%,*}" --router-admin "$router" \
  --agent-admin "$agents" --token "$TOKEN" --model "$MODEL" --data-path "$out"
