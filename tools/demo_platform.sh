#!/usr/bin/env bash
# Run a simulation of the users' platform with two entry hosts, forward requests, and stop all
# processes.
set -u
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    pids=()
}
fail() { echo "demo: $1" >&2; tail -n 5 "$logs"/*.log >&2; stop_all; rm -rf "$logs"; exit 1; }
trap stop_all EXIT

python -m yewloom.platform.standins --address 127.0.0.1:7300 --first-engine-port 7330 \
    >"$logs/standins.log" 2>&1 & pids+=($!)
for number in 1 2; do
    YEWLOOM_BOOT=demo/users-platform-$number.ini python -m yewloom.platform \
        >"$logs/users-entry-$number.log" 2>&1 & pids+=($!)
done

echo "== on the users' platform: waiting until both entry hosts answer"
for number in 1 2; do
    for _ in $(seq 120); do
        python tools/forward.py 127.0.0.1:730$number /summaries/1 >/dev/null 2>&1 && break
        sleep 0.25
    done
    python tools/forward.py 127.0.0.1:730$number /summaries/4711 --request-id "demo-4711-$number" \
        || fail "entry host $number does not answer."
done

echo "== a request with an unknown API key is refused"
python tools/forward.py 127.0.0.1:7301 /summaries/4711 --key no-key \
    && fail "the request with an unknown key was accepted."

echo "== how a request was handled, from the logs of both hosts"
python -m yewloom.cli explain demo-4711-2 "$logs"/users-entry-*.log \
    || fail "the request is not in the logs."
stop_all
rm -rf "$logs"
echo "== done"
