"""An entry starts just after a new version was recorded and uses it at once; another entry does not know of it yet."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from platform_standins import *

STREAMS = 9
# `reset_conns`: 6 of the 9 connections of consumers at one entry of three, once.
RESETS = 6
EVENTS = 40

rec = Record("record.txt")
# The first revision of the store. With this one the first entry is the one that writes the record of versions at once; with
# one in two others it leaves the write to the second entry for a second.
store = Store(revision=int(os.environ.get("REVISION", "102")))

def model(worker, conn, line, headers, body, number):
    """Streams numbered events, which name the version that made them. Goes on after `Last-Event-Id`."""
    worker.ran(line, headers)
    conn.s.sendall((STREAM_HEAD % headers["x-tanagerford-attempt-id"]).encode())
    for event in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        conn.s.sendall(chunk(b"id: %d\ndata: %s of %s\n\n" % (event, worker.version.encode(), worker.id.encode())))
        time.sleep(0.1)
    conn.s.sendall(b"0\r\n\r\n")

def consume(number, first, second, results):
    """Reads one stream; after a broken connection it resumes the stream once on a new connection."""
    deadline = now() + 12
    events, is_complete, tries = {}, False, []
    for attempt, address in enumerate([first, second], 1):
        rid = f"stream-{number}-{attempt}"
        last = max(events, default=0)
        headers = f"X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 826,300\r\nX-Tanagerford-Prompt-Prefix: 5c1e07a2:119,{number + 16:x}:79\r\n"
        if last:
            headers += f"Last-Event-Id: {last}\r\n"
        rec("sent", id=rid, after=last)
        status, wait = None, 0.0
        try:
            conn = Conn(socket.create_connection(address, 1))
            conn.s.settimeout(max(deadline - now(), 0.1))
            conn.s.sendall(req("POST /chat/note", rid, headers, deadline=int((deadline - now()) * 1000)).encode())
            line, answer = conn.head()
            status = int(line.split(" ")[1])
            wait = float(answer.get("retry-after", "0"))
            while status == 200:
                size = int(conn.until(b"\r\n"), 16)
                data = conn.exact(size + 2)[:-2]
                if size == 0:
                    is_complete = True
                    break
                for event in data.decode().split("\n\n"):
                    if event:
                        id_line, data_line = event.split("\n")
                        events[int(id_line[4:])] = data_line[6:]
        except (OSError, EOFError, ValueError):
            pass
        tries.append(status)
        rec("answered", id=rid, status=status, complete=is_complete, last=max(events, default=0))
        if is_complete or deadline - now() < 1:
            break
        time.sleep(min(wait, (deadline - now()) / 3))
    results[number] = (events, is_complete, tries)

def main():
    workers = [Worker(f"l-{i}", "lm", rec, model) for i in (1, 2, 3)]
    for worker, version in zip(workers, ["v1", "v1", "v2"]):
        worker.version = version
    def register(worker):
        store.put("servers/" + worker.id, worker.beat(slots=64, version=worker.version))
    store.put("op/config", config(1))
    for worker in workers[:2]:
        register(worker)
    folder = temporary_folder()
    doors = [Door(store) for _ in range(3)]
    entries = [Entry(f"front-{i + 1}", doors[i].address, folder, memory=96) for i in range(3)]
    if not all(entry.wait_ready() for entry in entries):
        finish(rec, [], could_run=False)
    time.sleep(8)
    # Planned work: the third entry is stopped and will be started again.
    entries[2].p.send_signal(signal.SIGTERM)
    entries[2].p.wait()
    time.sleep(3)
    # Planned work: a change of the configuration, then the first server of a new version.
    store.put("op/config", config(2))
    time.sleep(0.05)
    if HAS_TROUBLE:
        doors[1].is_shut = True
        rec("store-turns-away", entry="front-2")
    time.sleep(0.2)
    register(workers[2])
    released = now()
    rec("release", worker="l-3", version="v2")
    while b"v2" not in store.items.get("tanagerford/stream-versions", (0, b""))[1]:
        if now() > released + 3:
            finish(rec, [], could_run=False)
        time.sleep(0.005)
    rec("version-recorded", after_s=round(now() - released, 3))
    entries[2].start(bootstrap=False)
    entries[2].wait_ready()
    rec("entry-ready", entry="front-3", after_s=round(now() - released, 3))
    proxy = Proxy(entries[2].addr)
    results = {}
    consumers = [threading.Thread(target=consume, args=(number, proxy.addr, entries[1].addr, results), daemon=True) for number in range(STREAMS)]
    for consumer in consumers:
        consumer.start()
    time.sleep(0.35)
    if HAS_TROUBLE:
        pairs = list(proxy.open)[:RESETS]
        for pair in pairs:
            proxy.reset(pair)
        rec("connections-reset", count=len(pairs), after_s=round(now() - released, 3))
    time.sleep(2)
    doors[1].is_shut = False
    for consumer in consumers:
        consumer.join(20)
    broken = []
    for number, (events, is_complete, tries) in sorted(results.items()):
        versions = list(dict.fromkeys(events[event].split(" ")[0] for event in sorted(events)))
        rec("stream", number=number, tries=tries, complete=is_complete, events=len(events), versions=versions)
        if is_complete and len(versions) > 1:
            first = min(event for event, text in events.items() if text.startswith(versions[1]))
            broken.append(f"stream {number} was completed with events 1-{first - 1} of {versions[0]} and {first}-{EVENTS} of {versions[1]}")
    began = sum(len(events) > 0 for events, _, _ in results.values())
    finish(rec, broken, could_run=began == STREAMS)

run(main)
