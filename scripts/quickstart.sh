#!/usr/bin/env bash
# Starts one entry host with one engine, one service and the platform stand-in on
# loopback, rolls out the quick start bundle and waits until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

. scripts/lib.sh
begin "${platform#*:}" 19{1..7}01
make_operators

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
write_hbctl_settings '["127.0.0.1:19601"]'

start platform heatherbarrow-standin
start engine heatherbarrow-standin
start service heatherbarrow-standin
start control heatherbarrow-control
start router heatherbarrow-router
wait_for "the platform" curl -sf "http://$platform/v1/hosts"
echo "+ hbctl propose (as ana), approve and rollout (as ben) examples/quickstart/bundle.json"
roll_out examples/quickstart/bundle.json
wait_for "the host" curl -sf http://127.0.0.1:19301/readyz
bin/hbctl --config "$run/ana.json" status
echo "ready at http://127.0.0.1:19301; logs and settings in $run; press Ctrl-C to stop"
wait
