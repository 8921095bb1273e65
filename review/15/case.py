"""An entry is stopped as planned; it ends streams of a sound worker because the worker is silent for 1.3 s."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from platform_standins import *

STREAMS = 6
EVENTS = 30
EVENT_S = 0.05
# Pause of a stream that was preempted and is read in again.
PAUSE_S = 1.3
PAUSE_AFTER = 15
# Time for which a full worker lets a request wait in its queue before it turns it away.
QUEUE_S = 0.4

rec = Record("record.txt")
store = Store()

def running(worker, conn, line, headers, body, number):
    """Runs every stream to its end. Each one pauses once, as after a preemption."""
    worker.ran(line, headers)
    rid = headers["x-tanagerford-attempt-id"]
    try:
        conn.s.sendall((STREAM_HEAD % rid).encode())
        for event in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            conn.s.sendall(chunk(b"id: %d\ndata: %s\n\n" % (event, worker.id.encode())))
            time.sleep(EVENT_S)
            if event == PAUSE_AFTER and HAS_TROUBLE:
                rec("worker-silent", worker=worker.id, id=rid, for_s=PAUSE_S)
                conn.s.settimeout(PAUSE_S)
                try:
                    if conn.s.recv(1) == b"": raise OSError("closed")
                except TimeoutError:
                    pass
                conn.s.settimeout(None)
        conn.s.sendall(b"0\r\n\r\n")
        rec("worker-done", worker=worker.id, id=rid)
    except OSError:
        rec("connection-closed-by-the-entry", worker=worker.id, id=rid)
        return False

def full(worker, conn, line, headers, body, number):
    """Has no free slot: the request waits in the queue and is turned away, not run."""
    time.sleep(QUEUE_S)
    rec("turned-away", worker=worker.id, id=headers["x-tanagerford-attempt-id"])
    reply(conn, headers, 503, b"", "X-Tanagerford-Not-Executed: 1\r\n", seal=False)

def consume(number, conn, results):
    rid = f"stream-{number}"
    headers = f"X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 826,180\r\nX-Tanagerford-Prompt-Prefix: 5c1e07a2:119,{number + 16:x}:79\r\n"
    events, is_complete = 0, False
    conn.s.settimeout(12)
    sent = now()
    rec("sent", id=rid)
    try:
        conn.s.sendall(req("POST /chat/note", rid, headers, deadline=12000).encode())
        line, answer = conn.head()
        while True:
            size = int(conn.until(b"\r\n"), 16)
            data = conn.exact(size + 2)[:-2]
            if size == 0:
                is_complete = True
                break
            events += data.count(b"id: ")
    except (OSError, EOFError, ValueError) as error:
        rec("connection-ended", id=rid, error=type(error).__name__)
    rec("answered", id=rid, complete=is_complete, events=events, after_s=round(now() - sent, 2))
    results[number] = (events, is_complete, now() - sent)

def main():
    workers = [Worker("l-1", "lm", rec, running), Worker("l-2", "lm", rec, full), Worker("l-3", "lm", rec, full)]
    store.put("op/config", config(1))
    for worker in [*workers, Worker("a-1", "app", rec)]:
        store.put("servers/" + worker.id, worker.beat(slots=64))
    folder = temporary_folder()
    entries = [Entry(f"front-{i}", store, folder) for i in (1, 2)]
    if not all(entry.wait_ready() for entry in entries):
        finish(rec, [], could_run=False)
    time.sleep(5)
    # Connections that the consumers keep: each has carried a request before.
    conns = []
    for number in range(STREAMS):
        conn = Conn(socket.create_connection(entries[0].addr, 2))
        got = call(None, req("GET /looks/1", f"look-{number}"), 3, conn)
        conns.append(conn)
    results = {}
    stopped = now()
    entries[0].p.send_signal(signal.SIGTERM)
    rec("SIGTERM", entry="front-1")
    consumers = [threading.Thread(target=consume, args=(number, conns[number], results), daemon=True) for number in range(STREAMS)]
    for consumer in consumers:
        consumer.start()
        time.sleep(0.02)
    for consumer in consumers:
        consumer.join(14)
    entries[0].p.wait(10)
    rec("entry-ended", after_s=round(now() - stopped, 2))
    broken = [f"stream {number} of a kept connection ended {after:.1f} s after it was sent with {events} of {EVENTS} events"
              for number, (events, is_complete, after) in sorted(results.items()) if not is_complete]
    began = sum(events > 0 for events, _, _ in results.values())
    finish(rec, broken, could_run=began == STREAMS)

run(main)
