#!/usr/bin/env bash
# Starts one entry host with one engine, one service and the platform stand-in on
# loopback, rolls out the quick start bundle and waits until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

if (exec 3<>/dev/tcp/127.0.0.1/19001) 2>/dev/null; then
  echo "port 19001 is in use; is another demo running?" >&2
  exit 1
fi

run=$(mktemp -d)
processes=()
stop_all() {
  for pid in "${processes[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${processes[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap stop_all EXIT

start() { # name, program
  "bin/$2" --config "$run/$1.json" >"$run/$1.log" 2>&1 &
  processes+=($!)
}

ana_seed=$(printf '01%.0s' {1..32})
ben_seed=$(printf '02%.0s' {1..32})
operators="{\"ana\":\"$(bin/hbctl public-key "$ana_seed")\",\"ben\":\"$(bin/hbctl public-key "$ben_seed")\"}"
platform=127.0.0.1:19001

echo "{\"role\":\"platform\",\"listen\":\"$platform\"}" >"$run/platform.json"
echo '{"role":"engine","listen":"127.0.0.1:19101","models":["glue-13b"]}' >"$run/engine.json"
echo '{"role":"service","listen":"127.0.0.1:19201"}' >"$run/service.json"
cat >"$run/control.json" <<JSON
{"host":"host1","availability_zone":"ate","feed_listen":"127.0.0.1:19401","peer_listen":"127.0.0.1:19501",
 "operator_listen":"127.0.0.1:19601","router":"127.0.0.1:19701","platform":"http://$platform","operators":$operators}
JSON
cat >"$run/router.json" <<JSON
{"host":"host1","availability_zone":"ate","listen":"127.0.0.1:19301","internal_listen":"127.0.0.1:19701","control":"127.0.0.1:19401"}
JSON
for operator in ana ben; do
  seed=${operator}_seed
  echo "${!seed}" >"$run/$operator.key"
  echo "{\"platform\":\"http://$platform\",\"operators\":$operators,\"operator\":\"$operator\",\"key_file\":\"$run/$operator.key\",\"controls\":[\"127.0.0.1:19601\"]}" >"$run/$operator.json"
done

start platform heatherbarrow-standin
start engine heatherbarrow-standin
start service heatherbarrow-standin
start control heatherbarrow-control
start router heatherbarrow-router
until curl -sf "http://$platform/v1/hosts" >/dev/null; do sleep 0.1; done
echo "+ hbctl propose examples/quickstart/bundle.json (as ana)"
hash=$(bin/hbctl --config "$run/ana.json" propose examples/quickstart/bundle.json | sed 's/.*sha256 //')
echo "proposed $hash"
echo "+ hbctl approve and rollout (as ben)"
bin/hbctl --config "$run/ben.json" approve "$hash"
bin/hbctl --config "$run/ben.json" rollout "$hash"
until curl -sf http://127.0.0.1:19301/readyz >/dev/null; do sleep 0.1; done
bin/hbctl --config "$run/ana.json" status
echo "ready at http://127.0.0.1:19301; logs and settings in $run; press Ctrl-C to stop"
wait
