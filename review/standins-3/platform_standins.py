"""Stand-ins of the platform for the cases: store, workers, consumers, a resetting proxy, and entries as processes.

Everything listens on loopback addresses and free ports.
"""
import base64
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
T0 = time.monotonic()
# Longest time of a script.
MAX_S = 110

def now():
    return time.monotonic() - T0

class Record:
    def __init__(self, path):
        self.f = open(path, "w"); self.lock = threading.Lock()
    def __call__(self, event, **kw):
        with self.lock:
            self.f.write("%8.3f %s %s\n" % (now(), event, " ".join("%s=%s" % i for i in kw.items())))
            self.f.flush()

def free_port(host="127.0.0.1"):
    s = socket.socket(); s.bind((host, 0)); p = s.getsockname()[1]; s.close(); return p

class Conn:
    """Buffered reader of HTTP messages."""
    def __init__(self, sock):
        self.s = sock; self.b = b""
    def fill(self):
        d = self.s.recv(65536)
        if not d: raise EOFError
        self.b += d
    def until(self, sep):
        while sep not in self.b: self.fill()
        h, self.b = self.b.split(sep, 1); return h
    def exact(self, n):
        while len(self.b) < n: self.fill()
        d, self.b = self.b[:n], self.b[n:]; return d
    def head(self):
        lines = self.until(b"\r\n\r\n").decode("latin1").split("\r\n")
        hs = {}
        for l in lines[1:]:
            k, v = l.split(":", 1); hs[k.strip().lower()] = v.strip()
        return lines[0], hs
    def body(self, hs):
        if hs.get("transfer-encoding") == "chunked":
            out = b""
            while True:
                n = int(self.until(b"\r\n").split(b";")[0], 16)
                d = self.exact(n + 2)[:-2]
                if n == 0: return out
                out += d
        return self.exact(int(hs.get("content-length", "0")))
    def reset(self):
        try: self.s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError: pass
        self.s.close()

class Listener:
    def __init__(self, host="127.0.0.1", port=0):
        self.l = socket.socket(); self.l.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.l.bind((host, port)); self.l.listen(256)
        self.addr = self.l.getsockname(); self.address = "%s:%d" % self.addr
        threading.Thread(target=self.loop, daemon=True).start()
    def loop(self):
        n = 0
        while True:
            try: s, peer = self.l.accept()
            except OSError: return
            n += 1
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(s, peer, n), daemon=True).start()
    def run(self, s, peer, n):
        try: self.serve(Conn(s), peer, n)
        except (EOFError, OSError): pass
        finally:
            try: s.close()
            except OSError: pass
    def close(self):
        self.l.close()

class Store(Listener):
    """Store of the platform: key-value pairs with revisions, ranges, watches and transactions."""
    def __init__(self, **kw):
        self.cv = threading.Condition(); self.rev = kw.pop("revision", 100); self.items = {}; self.hist = []; self.compacted = 0
        self.down = None; self.cuts = 0; self.delay = lambda path, n: 0.0; self.calls = []; self.socks = set(); self.era = None
        super().__init__(**kw)
    def put(self, key, value):
        if not isinstance(value, (bytes, str)): value = json.dumps(value)
        if isinstance(value, str): value = value.encode()
        with self.cv:
            self.change(key, value); self.cv.notify_all(); return self.rev
    def remove(self, key):
        with self.cv:
            self.change(key, None); self.cv.notify_all()
    def change(self, key, value, rev=None):
        if rev is None: self.rev += 1
        if value is None: self.items.pop(key, None)
        else: self.items[key] = (self.rev, value)
        self.hist.append((self.rev, key, value))
    def item(self, key, rev, value):
        if value is None: return {"key": key, "modRevision": rev, "removed": True}
        return {"key": key, "value": base64.b64encode(value).decode(), "modRevision": rev, "created": rev, "lease": 0}
    def serve(self, c, peer, n, door=None):
        self.socks.add(c)
        try:
            while True:
                line, hs = c.head(); body = c.body(hs)
                method, target, _ = line.split(" "); u = urllib.parse.urlsplit(target)
                q = dict(urllib.parse.parse_qsl(u.query)); path = u.path
                self.calls.append((now(), path, q.get("after")))
                if self.down == "silent":
                    while self.down == "silent": time.sleep(0.02)
                    return
                if self.down: status, out = 503, {}
                else: status, out = self.answer(path, q, body)
                if status is None: c.reset(); return
                if door and door.is_shut:
                    while door.is_shut: time.sleep(0.02)
                    return
                d = self.delay(path, n)
                if d: time.sleep(d)
                data = json.dumps(out).encode()
                era = "" if self.era is None else "Store-Era: %d\r\n" % self.era
                c.s.sendall(("HTTP/1.1 %d S\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n" % (status, era, len(data))).encode() + data)
        finally: self.socks.discard(c)
    def cut(self):
        with self.cv:
            self.cuts += 1; self.cv.notify_all()
    def beat(self, key, value):
        """Write of a worker, which changes the entry only if it differs, and fails while the store is away."""
        if self.down is None and self.items.get(key, (0, b""))[1] != value: self.put(key, value)
    def copy(self):
        with self.cv: return self.rev, dict(self.items), list(self.hist)
    def go_away(self):
        self.down = "silent"
        self.cut()
        for c in list(self.socks): c.reset()
    def come_back(self, copy):
        """Comes back from a copy: revisions go back, and the era rises by one."""
        with self.cv:
            self.rev, self.items, self.hist = copy[0], dict(copy[1]), list(copy[2])
            self.era += 1; self.down = None
    def answer(self, path, q, body):
        with self.cv:
            if path.endswith("/kv-range"):
                pre, after = q.get("pathPrefix", ""), q.get("after", "")
                ks = sorted(k for k in self.items if k.startswith(pre) and k > after)
                return 200, {"items": [self.item(k, *self.items[k]) for k in ks[:500]], "truncated": len(ks) > 500, "asOf": self.rev}
            if path.endswith("/kv-watch"):
                after, end, cuts = int(q["after"]), time.monotonic() + int(q["waitMs"]) / 1000, self.cuts
                while True:
                    if self.cuts != cuts: return None, None
                    if after < self.compacted or after > self.rev: return 410, {}
                    ev = [h for h in self.hist if h[0] > after and h[1].startswith(q.get("pathPrefix", ""))]
                    left = end - time.monotonic()
                    if ev or left <= 0:
                        return 200, {"events": [self.item(k, r, v) for r, k, v in ev], "asOf": self.rev}
                    self.cv.wait(left)
            if path.endswith("/kv-txn"):
                b = json.loads(body)
                for row in b.get("expect", []):
                    if self.items.get(row["key"], (0,))[0] != row["modRevision"]:
                        return 412, {"items": []}
                self.rev += 1
                for p in b.get("puts", []): self.change(p["key"], base64.b64decode(p["value"]), self.rev)
                for k in b.get("remove", []): self.change(k, None, self.rev)
                self.cv.notify_all()
                return 200, {"modRevision": self.rev}
            return 404, {}

class Door(Listener):
    """Another address of a store, for one entry. While it is shut, the store answers nothing there and serves all others."""
    def __init__(self, store, **kw):
        self.store, self.is_shut = store, False
        super().__init__(**kw)
    def serve(self, c, peer, n):
        self.store.serve(c, peer, n, self)

class Worker(Listener):
    """Worker of a service. `act(worker, conn, line, headers, body, n)` answers; it returns False to end the connection."""
    def __init__(self, wid, service, rec, act=None, **kw):
        self.id, self.service, self.rec, self.act = wid, service, rec, act or good; self.runs = []; self.lock = threading.Lock()
        self.conns = set()
        super().__init__(**kw)
    def beat(self, state="ready", version="v1", zone="zone-a", slots=6, born=1700000000000, **kw):
        return dict({"service": self.service, "address": self.address, "zone": zone, "version": version, "slots": slots,
                     "state": state, "coldRemainingMs": 0, "sequence": 1, "born": born}, **kw)
    def serve(self, c, peer, n):
        self.conns.add(c)
        while True:
            line, hs = c.head(); body = c.body(hs)
            if self.act(self, c, line, hs, body, n) is False: return
    def end(self):
        """The process ends: nothing listens any more, and its connections are reset."""
        self.l.shutdown(socket.SHUT_RDWR); self.close()
        for c in list(self.conns):
            try:
                c.s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)); c.s.shutdown(socket.SHUT_RD); c.s.close()
            except OSError: pass
    def ran(self, line, hs):
        with self.lock: self.runs.append((now(), hs.get("x-tanagerford-attempt-id"), line, hs))
        self.rec("run", worker=self.id, id=hs.get("x-tanagerford-attempt-id"), request=line.rsplit(" ", 1)[0].replace(" ", ":"), after=hs.get("last-event-id"))

def reply(c, hs, status=200, body=b"ok", extra="", seal=True):
    c.s.sendall(("HTTP/1.1 %d S\r\nX-Tanagerford-Attempt-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n" % (
        status, hs.get("x-tanagerford-attempt-id"), "X-Tanagerford-Response-Seal: s\r\n" if seal else "", extra, len(body))).encode() + body)

def good(w, c, line, hs, body, n):
    w.ran(line, hs); time.sleep(0.015); reply(c, hs)

STREAM_HEAD = "HTTP/1.1 200 OK\r\nX-Tanagerford-Attempt-Id: %s\r\nX-Tanagerford-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
def chunk(b):
    return b"%x\r\n%s\r\n" % (len(b), b)

def settings(name, store, front, ready, ports, ip="127.0.0.1", zone="zone-a", bootstrap=True, cores=1, memory=182, graceS=8, extra=108):
    return f'''node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internalPorts = [{ports},{ports + 1}]
seeds = []
bootstrap = {str(bootstrap).lower()}
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "r"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
[limits]
cpuShare = 0.13
cores = {cores}
memoryMb = {memory}
maxFds = 2870
linkMbps = 700.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = {graceS}
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = {extra}
recoveryS = 12
passMs = 120
reuseWindowS = 7.9
[provider]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
'''

def deploy_command():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml")) as f:
        return re.search(r'^run = "(.*)"$', f.read(), re.M).group(1).split(" ")

def end_with_parent():
    """Ends the process if the script is killed (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)

class Entry:
    """Process of the entry, with the settings of a small deployment."""
    all = []
    def __init__(self, name, store, d, ip="127.0.0.1", **kw):
        self.name, self.ip = name, ip
        self.front, self.ready, self.ports = free_port(ip), free_port(ip), free_port(ip)
        self.path = os.path.join(d, name + ".toml"); self.log = os.path.join(d, name + ".log")
        self.store = store if isinstance(store, str) else store.address; self.kw = kw
        self.p = None
        Entry.all.append(self)
        self.start()
    def start(self, **kw):
        open(self.path, "w").write(settings(self.name, self.store, self.front, self.ready, self.ports, ip=self.ip, **dict(self.kw, **kw)))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["TANAGERFORD_NODE_FILE"] = self.path
        with open(self.log, "ab") as log:
            self.p = subprocess.Popen(deploy_command(), cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT,
                                      preexec_fn=end_with_parent)
    def is_ready(self):
        try:
            r = call((self.ip, self.ready), "GET /tanagerford/ready HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n", 1)
            return r["status"] == 200
        except (OSError, EOFError): return False
    def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.is_ready(): return True
            time.sleep(0.05)
        return False
    @property
    def addr(self): return (self.ip, self.front)
    def kill(self):
        if self.p and self.p.poll() is None: self.p.kill(); self.p.wait()

def call(addr, text, timeout=5, conn=None):
    if conn is None:
        conn = Conn(socket.create_connection(addr, timeout)); own = True
    else: own = False
    conn.s.settimeout(timeout)
    conn.s.sendall(text.encode() if isinstance(text, str) else text)
    line, hs = conn.head(); status = int(line.split(" ")[1]); body = b""; complete = True
    try: body = conn.body(hs)
    except (EOFError, OSError): complete = False
    if own: conn.s.close()
    return {"status": status, "headers": hs, "body": body, "complete": complete}

def req(line, rid, headers="", body="", key="key-1", deadline=1000, host="app.example"):
    return f"{line} HTTP/1.1\r\nHost: {host}\r\nX-Tanagerford-Attempt-Id: {rid}\r\nX-Tanagerford-Deadline-Remaining: {deadline}\r\nX-Api-Key: {key}\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"

def config(version=1, lm="lm", app="app", **kw):
    def route(name, prefix, kind, svc, timeout, target, prio, att, resume=False, gap=None):
        r = {"name": name, "host": "app.example", "pathPrefix": prefix, "type": kind, "timeoutMs": timeout, "targetLatencyMs": target,
             "priority": prio, "service": svc, "maxAttempts": att, "public": False, "sticky": kind == "streaming", "canResume": resume}
        if gap: r["gapTargetMs"] = gap
        return r
    eng = {"slots": 64, "kvCapacityTokens": 434830, "kvTokenBytes": 35136, "linkMbps": 1100000.0, "moves": True, "backups": True, "stride": 6,
           "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}
    d = {"version": version,
         "routes": [route("drafts", "/drafts/", "streaming", lm, 4000, 500, 1, 1, False, 300), route("chat", "/chat/", "streaming", lm, 12000, 300, 0, 2, True, 200),
                    route("orders", "/orders/", "non_idempotent", app, 1000, 100, 2, 1), route("looks", "/looks/", "idempotent", app, 1000, 100, 2, 2)],
         "services": [{"name": n, "healthPath": "/health", "maxConnections": 720, "protocol": "h1", "tls": False, "engine": eng} for n in {lm, "lm"}] +
                     [{"name": n, "healthPath": "/health", "maxConnections": 200, "protocol": "h1", "tls": False} for n in {app, "app"}],
         "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
         "tenants": [{"name": "harbour", "apiKeys": ["key-1", "key-2"], "priority": 1}, {"name": "quay", "apiKeys": ["key-3"], "priority": 2}]}
    d.update(kw); return d

class Proxy(Listener):
    """Forwards connections to an address, and resets those that it is told to."""
    def __init__(self, target, **kw):
        self.target = target; self.open = []; super().__init__(**kw)
    def serve(self, c, peer, n):
        up = socket.create_connection(self.target, 1); pair = (c.s, up); self.open.append(pair)
        def copy(a, b):
            try:
                while True:
                    d = a.recv(65536)
                    if not d: break
                    b.sendall(d)
                b.shutdown(socket.SHUT_WR)
            except OSError: pass
        t = threading.Thread(target=copy, args=(up, c.s), daemon=True); t.start()
        copy(c.s, up); t.join()
        up.close()
        if pair in self.open: self.open.remove(pair)
    def reset(self, pair):
        for s in pair:
            try:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)); s.shutdown(socket.SHUT_RD); s.close()
            except OSError: pass

folders = []

def temporary_folder():
    folders.append(tempfile.mkdtemp())
    return folders[-1]

class Finished(Exception):
    pass

def finish(rec, broken, could_run=True):
    """Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    code = 2 if not could_run else 1 if broken else 0
    for line in broken: rec("broken", what=line.replace(" ", "_"))
    rec("verdict", exit=code, broken=len(broken))
    raise Finished(code)

def run(main):
    """Runs a case and ends all its processes. An error of the case itself is no verdict."""
    def on_signal(number, frame):
        raise SystemExit(f"ended by signal {number}")
    # Threads of consumers fail when the entries end.
    threading.excepthook = lambda args: None if issubclass(args.exc_type, (OSError, EOFError)) else threading.__excepthook__(args)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGALRM, on_signal)
    signal.alarm(MAX_S)
    code = 2
    try: main()
    except Finished as end: code = end.args[0]
    except BaseException:
        import traceback
        traceback.print_exc()
    for entry in Entry.all:
        try: entry.kill()
        except OSError: code = 2
    for folder in folders: shutil.rmtree(folder, ignore_errors=True)
    print("exit", code, flush=True)
    os._exit(code)
