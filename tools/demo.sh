#!/usr/bin/env bash
# Run three entry hosts in two data centres with a simulated platform and endpoints, send requests,
# and stop all processes.
set -u
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
pids=()
export YEWLOOM_KEY=demo-key YEWLOOM_HOST=http://127.0.0.1:7201 YEWLOOM_PLATFORM=http://127.0.0.1:7100
export YEWLOOM_HOSTS="http://127.0.0.1:7201 http://127.0.0.1:7202 http://127.0.0.1:7203"

start() { "$@" 2>>"$logs/$name.log" >&2 & pids+=($!); }
stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    pids=()
}
fail() { echo "demo: $1" >&2; tail -n 5 "$logs"/*.log >&2; stop_all; rm -rf "$logs"; exit 1; }
trap stop_all EXIT

name=platform start python -m yewloom.standins.platform --address 127.0.0.1:7100 \
    --hosts demo/hosts.ini --rows demo/rows.json
port=7110
for host in a1 a2 a3 a4 a5 b1 b2 b3 b4 b5; do
    name=$host start python -m yewloom.standins.engine --address 127.0.0.1:$port --host-id $host
    port=$((port + 1))
done
name=records-a start python -m yewloom.standins.service --address 127.0.0.1:7130 --host-id records-a
name=records-b start python -m yewloom.standins.service --address 127.0.0.1:7131 --host-id records-b
for entry in entry-1 entry-2 entry-3; do
    name=$entry start python -m yewloom.daemon --config demo/$entry.ini
done

echo "== waiting until a group serves in each data centre"
for _ in $(seq 120); do
    serving=$(python -m yewloom.cli groups 2>/dev/null | grep -c " serving ")
    [ "$serving" -ge 2 ] && break
    sleep 0.5
done
[ "${serving:-0}" -ge 2 ] || fail "fewer than two groups were serving after a minute."
python -m yewloom.cli groups || fail "could not list the groups."

echo "== a streamed chat request"
python -m yewloom.cli request "Summarise plate 4711." --model plate-summary --max-tokens 6 \
    || fail "the chat request failed."

call() { python tools/call.py "$@" || fail "the call to $2 failed."; }
echo "== a plain-service call, and an unsafe call sent twice with one idempotency key"
call GET http://127.0.0.1:7201/services/records/plates/4711
call POST http://127.0.0.1:7201/services/records/update/4711 --key update-1
call POST http://127.0.0.1:7203/services/records/update/4711 --key update-1

echo "== a table edit takes effect on every entry host"
python -m yewloom.cli table set customer/branch-1 weight=2 || fail "the table edit failed."
sleep 3
python -m yewloom.cli table status || fail "an entry host has not applied the edit."

echo "== decisions from the logs"
grep -h -E '"event": "(placed|routed)"' "$logs"/entry-*.log | head -n 8
stop_all
rm -rf "$logs"
echo "== done"
