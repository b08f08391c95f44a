# Functions shared by the scripts that start processes on loopback. The caller
# sets -euo pipefail and stands in the root of the repository.

platform=127.0.0.1:19001
run=
processes=()

# begin exits unless the ports are free. It makes the directory of settings and
# logs, and stops everything at exit.
begin() { # ports of loopback...
  require_free "$@"
  run=$(mktemp -d)
  trap stop_all EXIT
}

# require_free names every port on which something listens already.
require_free() { # ports of loopback...
  local port taken=()
  for port in "$@"; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then taken+=("$port"); fi
  done
  if [ ${#taken[@]} -gt 0 ]; then
    echo "taken on 127.0.0.1: port ${taken[*]}" >&2
    echo "The demo and the quick start use fixed ports, so only one of them can run at a time. Stop the program that listens there." >&2
    exit 1
  fi
}

stop_all() {
  for pid in "${processes[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${processes[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}

start() { # name, program
  "bin/$2" --config "$run/$1.json" >"$run/$1.log" 2>&1 &
  processes+=($!)
}

wait_for() { # description, command...
  local what=$1
  shift
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for $what" >&2
  tail -n 5 "$run"/*.log >&2
  return 1
}

# make_operators writes the keys of the operators ana and ben and sets the JSON
# object of their public keys. The seeds are for demonstrations only.
make_operators() {
  local ana_seed ben_seed
  ana_seed=$(printf '01%.0s' {1..32})
  ben_seed=$(printf '02%.0s' {1..32})
  echo "$ana_seed" >"$run/ana.key"
  echo "$ben_seed" >"$run/ben.key"
  operators="{\"ana\":\"$(bin/hbctl public-key "$ana_seed")\",\"ben\":\"$(bin/hbctl public-key "$ben_seed")\"}"
}

write_hbctl_settings() { # JSON list of control addresses
  for operator in ana ben; do
    echo "{\"platform\":\"http://$platform\",\"operators\":$operators,\"operator\":\"$operator\",\"key_file\":\"$run/$operator.key\",\"controls\":$1}" >"$run/$operator.json"
  done
}

roll_out() { # bundle file
  local hash
  hash=$(bin/hbctl --config "$run/ana.json" propose "$1" | sed 's/.*sha256 //')
  echo "proposed $hash"
  bin/hbctl --config "$run/ben.json" approve "$hash"
  bin/hbctl --config "$run/ben.json" rollout "$hash"
}
