"""Stand-ins for the callers, the exchanges, the journal service and the platform.

Everything listens and connects on loopback addresses. The call controller is started with the line `run` of
deploy/balancer.toml. Each stand-in follows the protocol page; where a page is silent it behaves like a sound peer.
"""

import asyncio
import ctypes
import json
import os
import resource
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 52, 53
DRAIN_GRACE_S, SOCKET_ALLOWANCE_S = 0.5, 0.05


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_script():
    """Runs in a child: the system kills it if this script is killed. The setting outlasts exec."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port(address="127.0.0.1"):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((address, 0))
        return s.getsockname()[1]


# --- the callers' binary messages -------------------------------------------------------------------------------


def message(kind, call, parameters=()):
    body = struct.pack(">BQ", kind, call)
    for code, value in parameters:
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def set_up(call, destination, wait_ms=3000, cls="result-view", number=None, description=None, extra=""):
    number = number or f"{call ^ 0x5A5A5A5A5A5A5A5A:016x}"
    description = description or f"{call:016x}\r\nc=IN IP4 127.0.0.7\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
    figures = f"dest:{destination};width:1;via:-1{extra}"
    return message(SET_UP, call, [(100, cls.encode()), (101, str(wait_ms).encode()), (104, number.encode()),
                                  (105, figures.encode()), (115, description.encode())])


class Caller:
    """One connection from callers."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.got = []  # (seconds, kind, call, parameters)
        self.closed_at = None
        self.on_message = None

    async def open(self, address, source=None):
        local = (source, 0) if source else None
        self.reader, self.writer = await asyncio.open_connection(*address, local_addr=local)
        self.task = asyncio.create_task(self.read())
        return self

    async def read(self):
        try:
            while True:
                (length,) = struct.unpack(">H", await self.reader.readexactly(2))
                body = await self.reader.readexactly(length)
                kind, call = struct.unpack(">BQ", body[:9])
                parameters, rest = {}, body[9:]
                while rest:
                    code, size = struct.unpack(">BH", rest[:3])
                    parameters[code], rest = rest[3:3 + size], rest[3 + size:]
                self.got.append((self.record.now(), kind, call, parameters))
                if kind != TEST_RESULT:
                    cause = parameters.get(114)
                    said = f" cause {cause[0]}" if cause else ""
                    self.record(f"caller {self.name} got {kind}{said} for {call:016x}")
                if kind == RELEASE and self.has(ANSWER, call):
                    self.send(message(RELEASE_HEARD, call))
                if self.on_message:
                    self.on_message(kind, call, parameters)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        self.closed_at = self.record.now()
        self.writer.close()

    def send(self, data):
        length, kind, call = struct.unpack(">HBQ", data[:11])
        self.record(f"caller {self.name} sent {kind} for {call:016x}")
        self.writer.write(data)

    def has(self, kind, call):
        return any(k == kind and c == call for _, k, c, _ in self.got)

    async def wait_for(self, kind, call, seconds):
        return await until(lambda: self.has(kind, call), seconds)

    def close(self):
        self.writer.close()


async def until(condition, seconds, step=0.01):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(step)
    return True


# --- exchanges --------------------------------------------------------------------------------------------------


def sip(start, call_id, cseq, headers="", body=b""):
    head = (f"{start}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: {cseq}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


async def read_sip(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Exchange:
    """One exchange: answers every set-up after a while, sends the state of its group, and releases calls."""

    def __init__(self, record, number, size=140, answer_after=0.03):
        self.record, self.number, self.size, self.answer_after = record, number, size, answer_after
        self.uid = f"s-{number:08x}"
        self.connections = []  # open ones, oldest first
        self.opened = 0
        self.set_ups = []  # (seconds, unix ms, call)
        self.standing = {}  # call: connection
        self.pending = {}  # call: connection
        self.unsent = []  # releases that wait for a connection: (call, cause)
        self.unheard = {}  # releases that were sent and not acknowledged: call: (connection, cause)
        self.released = {}  # call: seconds at which it was released
        self.heard_byes = []
        self.accepting = True
        self.tasks = set()

    async def start(self, address="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, address, port, backlog=128)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    def entry(self, state="SERVING", boot_ms=0, uid=None):
        return {"uid": uid or self.uid, "endpoint": "%s:%d" % self.address, "az": "brno", "model": "std-1",
                "pod_group": self.number, "state": state, "capacity_hint": 1, "boot_ms": boot_ms}

    def notify(self, writer):
        free = self.size - len(self.standing) - len(self.pending)
        writer.write(sip("NOTIFY sip:group@net SIP/2.0", "0" * 16, "1 NOTIFY", f"X-Group: spare:{free};total:{self.size}\r\n"))

    def notify_all(self):
        if self.connections:
            self.notify(self.connections[-1])

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.connections.append(writer)
        self.opened += 1
        self.record(f"exchange {self.number} accepted connection {self.opened}")
        self.notify(writer)
        unsent, self.unsent = self.unsent, []
        for call, cause in unsent:
            self.send_release(call, cause)
        try:
            while True:
                line, headers, body = await read_sip(reader)
                self.handle(line, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        self.lost(writer)

    def lost(self, writer):
        if writer in self.connections:
            self.connections.remove(writer)
            self.record(f"exchange {self.number} lost a connection")
        self.pending = {c: w for c, w in self.pending.items() if w is not writer}
        again = [(c, cause) for c, (w, cause) in self.unheard.items() if w is writer]
        for call, cause in again:
            del self.unheard[call]
            self.send_release(call, cause)
        writer.close()

    def handle(self, line, headers, body, writer):
        call_id = headers.get("call-id", "")
        if line.startswith("INVITE "):
            call = int(call_id, 16)
            self.set_ups.append((self.record.now(), unix_ms(), call))
            self.record(f"exchange {self.number} got a set-up of {call_id}")
            self.pending[call] = writer
            self.notify(writer)
            asyncio.get_running_loop().call_later(self.answer_after, self.answer, call, headers, writer)
        elif line.startswith("CANCEL "):
            self.pending.pop(int(call_id, 16), None)
            self.record(f"exchange {self.number} got: {call_id} is given up")
        elif line.startswith("BYE "):
            call = int(call_id, 16)
            self.heard_byes.append((self.record.now(), call))
            if self.standing.pop(call, None):
                self.record(f"exchange {self.number} got a release of {call_id}")
                self.notify(writer)
            writer.write(sip("SIP/2.0 200 OK", call_id, headers.get("cseq", "1 BYE")))
        elif line.startswith("OPTIONS "):
            writer.write(sip("SIP/2.0 200 OK", call_id, headers.get("cseq", "1 OPTIONS")))
        elif line.startswith("SIP/2.0 200") and headers.get("cseq", "").endswith("BYE"):
            call = int(call_id, 16)
            if self.unheard.pop(call, None):
                self.record(f"exchange {self.number}: the release of {call_id} was acknowledged")

    def answer(self, call, headers, writer):
        if self.pending.get(call) is not writer or writer.is_closing():
            return
        del self.pending[call]
        self.standing[call] = writer
        self.record(f"exchange {self.number} answered {call:016x}: it stands")
        body = f"answer {call:016x} of {self.number}\r\nm=audio 32000 RTP/AVP 0\r\n".encode()
        writer.write(sip("SIP/2.0 200 OK", headers["call-id"], headers["cseq"], body=body))

    def release(self, call, cause=16):
        self.standing.pop(call, None)
        self.send_release(call, cause)
        self.notify_all()

    def send_release(self, call, cause):
        if not self.connections:
            self.record(f"exchange {self.number}: {call:016x} ended, its release waits for a connection")
            self.unsent.append((call, cause))
            return
        writer = self.connections[-1]
        self.released.setdefault(call, self.record.now())
        self.record(f"exchange {self.number} released {call:016x}, cause {cause}")
        self.unheard[call] = (writer, cause)
        writer.write(sip("BYE sip:call@net SIP/2.0", f"{call:016x}", "1 BYE", f"Reason: Q.850;cause={cause}\r\n"))


# --- the journal service ----------------------------------------------------------------------------------------


class Journal:
    """The journal service. `delay` is how long an answer takes once it is due."""

    def __init__(self, record, targets):
        self.record = record
        self.events = [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}}]
        self.delay = 0.0
        self.changed = asyncio.Event()
        self.requests = []
        self.abandoned = 0
        self.answered = 0

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    def known(self):
        return {"pos": len(self.events), "entries": self.events}

    def tell(self, targets):
        pos = len(self.events) + 1
        self.events.append({"pos": pos, "hosts": {"rev": pos, "all": False, "targets": targets}})
        self.record(f"journal has event {pos}: {[(t['uid'], t['state']) for t in targets]}")
        self.changed.set()
        self.changed = asyncio.Event()
        return self.record.now()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                query = dict(p.split("=") for p in target.split("?")[1].split("&"))
                tail, wait = int(query["tail"]), min(int(query["max_wait"]), 5000) / 1000
                self.requests.append(self.record.now())
                self.record(f"journal asked for events after {tail}, to wait {wait:.1f} s")
                end = time.monotonic() + wait
                while len(self.events) <= tail and time.monotonic() < end:
                    changed = self.changed
                    try:
                        await asyncio.wait_for(changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
                if self.delay:
                    # The service works on the answer; a closed connection is noticed when it is written.
                    gone = asyncio.ensure_future(reader.read(1))
                    done, _ = await asyncio.wait([gone], timeout=self.delay)
                    if done:
                        self.abandoned += 1
                        self.record("journal: the client closed before its answer")
                        break
                    gone.cancel()
                    await asyncio.sleep(0)
                body = json.dumps({"pos": len(self.events), "entries": self.events[tail:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
                await writer.drain()
                self.answered += 1
                self.record(f"journal answered: events after {tail} up to {len(self.events)}")
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        writer.close()


# --- the platform -----------------------------------------------------------------------------------------------


def settings(nodes, own):
    """Settings in the form of the wire page, of a small deployment."""
    s = 1_000_000_000
    grade = lambda name, worth: {"name": name, "aim": 1_200_000_000, "deadline": 9 * s, "worth": worth, "late-worth": 0.25,
                                 "idempotency": "safe", "dedup-scope": "all", "key-ttl": 5 * s, "streaming": True}
    return {
        "az": "brno", "dcs": ["praha", "brno", "ostrava"], "tick": 5_000_000, "instances": nodes, "my-number": own,
        "family": "trunks", "counted-by": "request", "clients": {"marks-retry": False}, "registry-mode": "pushed",
        "kinds": ["std-1"], "realms": [], "tier": 0, "tiers": ["results-exchange"], "weights": "none",
        "over-share-worth": 0.1,
        "family-info": {"shape": "meshed", "home-no": own, "release": 300_000_000, "resend": 500_000_000,
                        "circuits-by-class": [1, 1], "mean-hold": [11 * s, 9 * s], "class-cells": [],
                        "far-reports": "none", "route-advice": True, "tells-wait": False},
        "grades": [grade("result-view", 1.0), grade("result-post", 3.0)],
        "permissions": {"attempts-cap": 5, "cancel": True, "may-probe": False, "may-duplicate": False,
                        "peer-messages": False, "connect-timeout": 500_000_000, "idle-close": 600 * s,
                        "max-open": 20_000, "multiplex": 1_048_576, "retry-after": True,
                        "max-retry-after": 2 * s, "cpu-us-per-s": 300_000, "cpu-us-per-request": 0.0},
        "charges": {"late-fail": 0.08, "waste": 0.02, "probe": 0.0},
        "goal": {"whole": 0.6, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.1},
        "report": {"fields": ["spare", "total"], "how": "none"},
        "rules": {"answer-slack": 20_000_000, "ask-within": 10 * s, "cold": 15 * s, "cold-from": 0.34,
                  "drain-grace": 500_000_000, "overload-factor": 2.0, "overload-for": 2 * s},
    }


class Controller:
    """One call controller, as the platform starts it."""

    def __init__(self, record, folder, nodes=6, own=0, sockets=1024, memory_mb=64):
        self.record, self.folder = record, folder
        self.nodes, self.own, self.sockets, self.memory_mb = nodes, own, sockets, memory_mb
        self.address = ("127.0.0.1", free_port())
        self.process = None
        self.starts = 0
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
            self.command = tomllib.load(f)["run"]

    def configure(self, journal, known):
        config = {"name": f"n{self.own}", "listen": "%s:%d" % self.address, "seed": f"{0x8c1f30d27a5b + self.starts:016x}",
                  "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                  "journal": "%s:%d" % journal, "known": known, "settings": settings(self.nodes, self.own)}
        self.path = os.path.join(self.folder, "config.json")
        with open(self.path + ".new", "w") as f:
            json.dump(config, f)
        os.replace(self.path + ".new", self.path)

    def start(self):
        self.starts += 1
        temporary = os.path.join(self.folder, f"tmp-{self.starts}")
        os.mkdir(temporary)
        env = dict(os.environ, EDGE_NAME=f"n{self.own}", EDGE_LISTEN="%s:%d" % self.address, EDGE_CONFIG=self.path,
                   TMPDIR=temporary)
        log = open(os.path.join(self.folder, f"log-{self.starts}"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log, preexec_fn=end_with_script)
        self.record(f"platform started the call controller, process {self.process.pid}")

    def signal(self, number):
        self.record(f"platform sent {signal.Signals(number).name} to process {self.process.pid}")
        self.process.send_signal(number)

    async def ready(self, seconds=10):
        """The front's test: true once one was passed."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(message(TEST, 1, [(114, b"\0")]))
                answer = await asyncio.wait_for(reader.readexactly(15), 1)
                writer.close()
                if answer[2] == TEST_RESULT and answer[-1] == 1:
                    self.record("front: the call controller passed a test")
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def ended(self, seconds):
        return await until(lambda: self.process.poll() is not None, seconds)

    def peak_mb(self):
        """The most memory that the process ever held, as the platform counts it."""
        with open(f"/proc/{self.process.pid}/status") as f:
            kb = next(line for line in f if line.startswith("VmHWM")).split()[1]
        return int(kb) / 1024

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def play(case_folder, run):
    """Runs `run(record, folder)`, which returns (verdict, text); exits with the verdict."""
    case_folder = os.path.abspath(case_folder)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard), hard))
    record = Record(case_folder)
    folder = tempfile.mkdtemp(prefix="review-")
    controllers = []

    async def limited():
        return await asyncio.wait_for(run(record, folder, controllers), 115)

    verdict, text = NOT_RUN, "not run"

    def ended(*_):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, ended)
    signal.signal(signal.SIGALRM, ended)
    signal.alarm(117)  # also out of a call that blocks
    try:
        verdict, text = asyncio.run(limited())
    except (Exception, SystemExit, KeyboardInterrupt) as e:  # the case could not run
        text = f"the case could not run: {type(e).__name__}: {e}"
    finally:
        for controller in controllers:
            controller.end()
        shutil.rmtree(folder, ignore_errors=True)
    word = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[verdict]
    record(f"{word}: {text}")
    print(f"{word}: {text}", flush=True)
    os._exit(verdict)
