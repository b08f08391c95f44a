#!/usr/bin/env bash
# Starts stand-ins and all programs as separate processes on loopback in three
# availability zones, rolls out the sample bundle, sends a mix of classes,
# prints the results by class and stops everything. Exits 0 only if all is well.
set -euo pipefail
cd "$(dirname "$0")/.."

. scripts/lib.sh
begin "${platform#*:}" 1910{1..6} 1920{1..3} 19{3..7}0{1..4}
make_operators

zones=(ate callao surco)
echo "{\"role\":\"platform\",\"listen\":\"$platform\"}" >"$run/platform.json"
start platform heatherbarrow-standin
for i in 1 2 3 4 5 6; do
  echo "{\"role\":\"engine\",\"listen\":\"127.0.0.1:$((19100 + i))\",\"models\":[\"glue-13b\"]}" >"$run/engine$i.json"
  start "engine$i" heatherbarrow-standin
done
for i in 1 2 3; do
  echo "{\"role\":\"service\",\"listen\":\"127.0.0.1:$((19200 + i))\"}" >"$run/service$i.json"
  start "service$i" heatherbarrow-standin
done

# Four entry hosts: two in the first zone, one in each other zone.
controls=()
peers=()
for i in 1 2 3 4; do
  peers+=("{\"host\":\"host$i\",\"availability_zone\":\"${zones[$(((i - 1) % 3))]}\",\"address\":\"127.0.0.1:$((19500 + i))\"}")
done
peer_list=$(IFS=,; echo "${peers[*]}")
for i in 1 2 3 4; do
  zone=${zones[$(((i - 1) % 3))]}
  cat >"$run/control$i.json" <<JSON
{"host":"host$i","availability_zone":"$zone","feed_listen":"127.0.0.1:$((19400 + i))",
 "peer_listen":"127.0.0.1:$((19500 + i))","operator_listen":"127.0.0.1:$((19600 + i))",
 "router":"127.0.0.1:$((19700 + i))","platform":"http://$platform","peers":[$peer_list],"operators":$operators}
JSON
  cat >"$run/router$i.json" <<JSON
{"host":"host$i","availability_zone":"$zone","listen":"127.0.0.1:$((19300 + i))",
 "internal_listen":"127.0.0.1:$((19700 + i))","control":"127.0.0.1:$((19400 + i))","balancer_lag":"200ms"}
JSON
  start "control$i" heatherbarrow-control
  start "router$i" heatherbarrow-router
  controls+=("\"127.0.0.1:$((19600 + i))\"")
done
control_list=$(IFS=,; echo "${controls[*]}")

write_hbctl_settings "[$control_list]"

wait_for "the platform" curl -sf "http://$platform/v1/hosts"
roll_out examples/caceres/bundle.json
for i in 1 2 3 4; do
  wait_for "host$i" curl -sf "http://127.0.0.1:$((19300 + i))/readyz"
done
bin/hbctl --config "$run/ana.json" status

cat >"$run/load.json" <<JSON
{"targets":["http://127.0.0.1:19301","http://127.0.0.1:19302","http://127.0.0.1:19303","http://127.0.0.1:19304"],
 "duration":"8s","seed":1,"classes":[
 {"class":"quote","tier":1,"key":"counter-key","rate":20,"model":"glue-13b","prompt_tokens":50,"max_tokens":40,"target":"520ms"},
 {"class":"stock-lookup","tier":1,"key":"counter-key","rate":30,"method":"GET","path":"/services/warehouse/stock/hide-glue","target":"300ms"},
 {"class":"order","tier":2,"key":"counter-key","rate":10,"method":"POST","path":"/services/warehouse/orders","target":"2s"},
 {"class":"catalogue-comparison","tier":4,"key":"workshops-key","rate":4,"model":"glue-13b","prompt_tokens":1000,"max_tokens":200,"target":"10s"}]}
JSON
bin/hbload --config "$run/load.json"
bin/hbctl --config "$run/ana.json" status

repeated=$(for i in 1 2 3; do curl -s "http://127.0.0.1:$((19200 + i))/admin/effects"; done | grep -cE ':([2-9]|[0-9]{2,})[,}]' || true)
if [ "$repeated" != 0 ]; then
  echo "an order took effect more than once" >&2
  exit 1
fi
echo "demo: all is well"
