"""Stand-ins for the callers, the exchanges and the journal service of one call controller, and the platform that
starts it. Only the standard library is used. Every address is a loopback address.

Everything that is sent, answered and run is recorded with its time (seconds since the start of the script).
"""
import ctypes
import json
import os
import random
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 52, 53
CLASS, TIMEOUT_MS, NUMBER, FIGURES, RETRY_AFTER, CAUSE, DESCRIPTION = 100, 101, 104, 105, 106, 114, 115
SCRIPT_SECONDS = 100  # a script that takes longer gives no verdict and ends; the longest takes 31 s
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
KIND_NAMES = {1: "set-up", 9: "answer", 12: "release", 16: "release heard", 52: "test", 53: "test result"}


class CannotRun(Exception):
    """The case could not be played."""


def end_with_the_script():
    """Run in a new process: the system kills it when the script ends, however that happens."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """The log of one run."""

    def __init__(self):
        self.started_at = time.time()
        self.lines = []
        self.lock = threading.Lock()

    def now(self):
        return time.time() - self.started_at

    def add(self, who, text):
        with self.lock:
            at = self.now()
            self.lines.append(f"{at:9.3f}  {who:<12} {text}")
            return at

    def write(self, path):
        with self.lock, open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")


def new_id(rng=random.SystemRandom()):
    return rng.randrange(1, 1 << 64)


def listening_socket(port=0, backlog=512):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(backlog)
    return listener


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def close_socket(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def reset_socket(sock):
    """Closes with a reset, as the system does when a process dies."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


# ---- exchanges: SIP over TCP -------------------------------------------------------------------------------------


class SipConnection:
    """One connection that an exchange has accepted."""

    def __init__(self, exchange, sock, number):
        self.exchange, self.sock, self.number, self.open = exchange, sock, number, True
        self.lock = threading.Lock()

    def send(self, line, call_id, cseq, headers="", body=b""):
        head = f"{line}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id:016x}\r\nCSeq: {cseq}\r\n{headers}"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        try:
            with self.lock:
                self.sock.sendall(head.encode() + body)
            return True
        except OSError:
            self.open = False
            return False

    def respond(self, call_id, cseq, code, reason="", headers="", body=b""):
        """Answers a request. `exchange.copies_answer` tells after how many seconds an answer to a set-up comes a second
        time; None: it does not."""
        answer = (f"SIP/2.0 {code} {reason or 'No'}", call_id, cseq, headers, body)
        sent = self.send(*answer)
        copies = self.exchange.copies_answer
        after = copies(call_id, code) if copies and cseq.endswith("INVITE") else None
        if after is not None:
            def second_copy():
                self.exchange.record.add(self.exchange.name, f"{code} to INVITE {call_id:016x} CSeq {cseq}, second copy")
                self.send(*answer)

            timer = threading.Timer(after, second_copy)
            timer.daemon = True
            timer.start()
        return sent


class Exchange:
    """An exchange: it answers set-ups after `set_up_seconds`, holds what stands, and tells the state of its group on
    each new connection and whenever that changes. `on_invite(connection, call_id, cseq, message)` may take a set-up
    over: it returns True if it has dealt with it."""

    def __init__(self, record, name, number, port=0, circuits=120, set_up_seconds=0.04):
        self.record, self.name, self.number = record, name, number
        self.circuits, self.set_up_seconds = circuits, set_up_seconds
        self.listener = listening_socket(port)
        self.port = self.listener.getsockname()[1]
        self.lock = threading.RLock()
        self.connections, self.connection_count = [], 0
        self.pending = {}  # call id -> connection on which its set-up is out
        self.standing = {}  # call id -> connection of its set-up
        self.released_by_controller = {}  # call id -> time and cause
        self.released_by_exchange = {}
        self.unheard_releases = {}  # call id -> cause, until the call controller has answered the BYE
        self.invites = []  # time, call id, CSeq number
        self.on_invite = self.copies_answer = None
        self.running = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.running:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if not self.running:
                    reset_socket(sock)
                    return
                self.connection_count += 1
                connection = SipConnection(self, sock, self.connection_count)
                self.connections.append(connection)
                unheard = list(self.unheard_releases.items())
            self.record.add(self.name, f"connection {connection.number} opened")
            self.notify(connection)
            for call_id, cause in unheard:  # "it also sends its release on the next connection that is opened"
                self.record.add(self.name, f"BYE {call_id:016x} cause {cause} again, on connection {connection.number}")
                connection.send("BYE sip:call@net SIP/2.0", call_id, "2000 BYE", f"Reason: Q.850;cause={cause}\r\n")
            threading.Thread(target=self.read, args=(connection,), daemon=True).start()

    def notify(self, connection):
        with self.lock:
            free = self.circuits - len(self.standing) - len(self.pending)
        connection.send("NOTIFY sip:group@net SIP/2.0", 0, "1 NOTIFY",
                        f"X-Group: spare:{free};total:{self.circuits}\r\n")

    def notify_all(self):
        with self.lock:
            connections = [c for c in self.connections if c.open]
        for connection in connections:
            self.notify(connection)

    def read(self, connection):
        data = b""
        while True:
            end = data.find(b"\r\n\r\n")
            if end >= 0:
                head = data[:end].decode("latin-1").split("\r\n")
                headers = dict(line.split(":", 1) for line in head[1:] if ":" in line)
                headers = {name.strip().lower(): value.strip() for name, value in headers.items()}
                length = int(headers.get("content-length", "0"))
                if len(data) >= end + 4 + length:
                    body, data = data[end + 4:end + 4 + length], data[end + 4 + length:]
                    self.handle(connection, head[0], headers, body)
                    continue
            try:
                more = connection.sock.recv(65536)
            except OSError:
                more = b""
            if not more:
                break
            data += more
        with self.lock:
            connection.open = False
            if connection in self.connections:
                self.connections.remove(connection)
            given_up = [call_id for call_id, c in self.pending.items() if c is connection]
            for call_id in given_up:
                del self.pending[call_id]
        if self.running:
            self.record.add(self.name, f"connection {connection.number} ended by the controller; "
                            f"{len(given_up)} open set-ups given up")
        connection.sock.close()

    def handle(self, connection, line, headers, body):
        call_id = int(headers.get("call-id", "0") or "0", 16)
        cseq = headers.get("cseq", "1 X")
        method = line.split(" ")[0]
        if method == "INVITE":
            at = self.record.add(self.name, f"INVITE {call_id:016x} CSeq {cseq} on connection {connection.number}")
            with self.lock:
                self.invites.append((at, call_id, cseq))
            message = {"line": line, "headers": headers, "body": body}
            if self.on_invite and self.on_invite(connection, call_id, cseq, message):
                return
            self.answer_later(connection, call_id, cseq, body, self.set_up_seconds)
        elif method == "CANCEL":
            self.record.add(self.name, f"CANCEL {call_id:016x} CSeq {cseq}")
            with self.lock:
                self.pending.pop(call_id, None)
            self.notify_all()
        elif method == "BYE":
            cause = re.search(r"cause=(\d+)", headers.get("reason", ""))
            cause = int(cause.group(1)) if cause else 0
            at = self.record.add(self.name, f"BYE {call_id:016x} cause {cause}")
            connection.respond(call_id, cseq, 200, "OK")
            with self.lock:
                stood = self.standing.pop(call_id, None)
                if stood:
                    self.released_by_controller[call_id] = (at, cause)
            if stood:
                self.notify_all()
        elif method == "OPTIONS":
            connection.respond(call_id, cseq, 200, "OK")
        elif method == "SIP/2.0" and cseq.endswith("BYE"):
            with self.lock:
                self.unheard_releases.pop(call_id, None)
        elif method == "ACK":
            self.record.add(self.name, f"ACK {call_id:016x} CSeq {cseq}")

    def answer_later(self, connection, call_id, cseq, offer, seconds, error=None):
        """Answers a set-up after some time: the call stands, or with `error`, a status of 4xx or 5xx, it does not."""
        with self.lock:
            self.pending[call_id] = connection
        self.notify_all()

        def answer():
            with self.lock:
                if not self.running or self.pending.get(call_id) is not connection or not connection.open:
                    return
                del self.pending[call_id]
                if not error:
                    self.standing[call_id] = connection
            if error:
                self.record.add(self.name, f"{error} to INVITE {call_id:016x} CSeq {cseq}")
                connection.respond(call_id, cseq, error, "Error")
                return self.notify_all()
            self.record.add(self.name, f"200 to INVITE {call_id:016x} CSeq {cseq}: the call stands here")
            connection.respond(call_id, cseq, 200, "OK", body=b"answer of " + self.name.encode() + b"\r\n" + offer)

        timer = threading.Timer(seconds, answer)
        timer.daemon = True
        timer.start()

    def release(self, call_id, cause=16):
        """Ends a call that stands here: BYE on the connection of its set-up, or else on any open one. Returns the
        time of the BYE, or None if no connection is open."""
        with self.lock:
            connection = self.standing.pop(call_id)
            self.unheard_releases[call_id] = cause
            if not connection.open:
                connection = next((c for c in reversed(self.connections) if c.open), None)
        sent = connection is not None and connection.send(
            "BYE sip:call@net SIP/2.0", call_id, "2000 BYE", f"Reason: Q.850;cause={cause}\r\n")
        at = self.record.add(self.name, f"BYE {call_id:016x} cause {cause}: the call is over"
                             + ("" if sent else " (no connection)"))
        with self.lock:
            self.released_by_exchange[call_id] = at
        self.notify_all()
        return at if sent else None

    def stop(self, cut=True):
        """The process ends: connections are reset and calls are cut."""
        with self.lock:
            self.running = False
            connections, self.connections = self.connections, []
            cut_calls = sorted(self.standing)
            self.standing, self.pending = {}, {}
        close_socket(self.listener)
        for connection in connections:
            connection.open = False
            reset_socket(connection.sock)
        self.record.add(self.name, f"process ended; {len(cut_calls)} calls cut")
        return cut_calls


# ---- the journal service: HTTP/1.1 -------------------------------------------------------------------------------


def target(uid, port, number, state="SERVING", boot_ms=0):
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "praha", "model": "std", "pod_group": number,
            "state": state, "capacity_hint": 1, "boot_ms": boot_ms}


class Journal:
    def __init__(self, record):
        self.record, self.events = record, []
        self.changed = threading.Condition()
        self.listener = listening_socket()
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def publish(self, targets, whole=False):
        with self.changed:
            position = len(self.events) + 1
            self.events.append({"pos": position, "hosts": {"rev": position, "all": whole, "targets": targets}})
            self.changed.notify_all()
        if not whole:
            told = ", ".join(f"{t['uid']} {t['state']}" for t in targets)
            self.record.add("journal", f"event {position}: {told}")

    def known(self):
        with self.changed:
            return {"pos": len(self.events), "entries": list(self.events)}

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = sock.recv(4096)
                    if not more:
                        return
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                query = re.match(rb"GET /journal\?tail=(\d+)&max_wait=(\d+)", head)
                tail, wait = int(query.group(1)), min(int(query.group(2)), 5000) / 1000
                with self.changed:
                    self.changed.wait_for(lambda: len(self.events) > tail, wait)
                    answer = json.dumps({"pos": len(self.events), "entries": self.events[tail:]}).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(answer), answer))
        except OSError:
            pass
        finally:
            sock.close()


# ---- callers: the binary protocol --------------------------------------------------------------------------------


def message(kind, call_id, parameters=()):
    body = struct.pack(">BQ", kind, call_id)
    for code, value in parameters:
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def set_up_message(call_id, destination, timeout_ms=3000, number=None, call_class=b"result-view",
                   description=b"offer\r\nc=IN IP4 10.4.7.9\r\n", figures=None):
    figures = figures or f"dest:{destination};width:1;via:-1"
    number = number or b"%016x" % new_id()
    return message(SET_UP, call_id, [(CLASS, call_class), (TIMEOUT_MS, b"%d" % timeout_ms), (NUMBER, number),
                                     (FIGURES, figures.encode()), (DESCRIPTION, description)])


class Caller:
    """A connection of callers to the call controller. Each message received is recorded with its time."""

    def __init__(self, record, port, name="caller", quiet=False):
        self.record, self.name, self.quiet = record, name, quiet
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.received = []  # time, kind, call id, parameters
        self.changed = threading.Condition()
        self.closed_at = None
        threading.Thread(target=self.read, daemon=True).start()

    def send(self, data, text=None):
        at = self.record.add(self.name, text) if text else self.record.now()
        try:
            self.sock.sendall(data)
        except OSError as error:
            self.record.add(self.name, f"could not send: {error}")
        return at

    def set_up(self, call_id, destination, **options):
        return self.send(set_up_message(call_id, destination, **options),
                         f"set-up {call_id:016x} for exchange {destination}")

    def release(self, call_id, cause=16):
        return self.send(message(RELEASE, call_id, [(CAUSE, bytes([cause]))]), f"release {call_id:016x} cause {cause}")

    def test(self):
        call_id = new_id()
        self.send(message(TEST, call_id, [(CAUSE, b"\0")]))
        return self.wait_for(lambda m: m[1] == TEST_RESULT and m[2] == call_id, 5)

    def read(self):
        data = b""
        while True:
            while len(data) >= 2 and len(data) >= 2 + struct.unpack(">H", data[:2])[0]:
                length = struct.unpack(">H", data[:2])[0]
                self.take(data[2:2 + length])
                data = data[2 + length:]
            try:
                more = self.sock.recv(65536)
            except OSError:
                more = b""
            if not more:
                break
            data += more
        with self.changed:
            self.closed_at = self.record.add(self.name, "connection ended by the controller")
            self.changed.notify_all()

    def take(self, body):
        kind, call_id = struct.unpack(">BQ", body[:9])
        parameters, rest = {}, body[9:]
        while rest:
            code, length = struct.unpack(">BH", rest[:3])
            parameters[code], rest = rest[3:3 + length], rest[3 + length:]
        if kind == RELEASE:
            self.send(message(RELEASE_HEARD, call_id))
        with self.changed:
            if self.quiet:
                at = self.record.now()
            else:
                cause = f" cause {parameters[CAUSE][0]}" if CAUSE in parameters else ""
                at = self.record.add(self.name, f"received: {KIND_NAMES.get(kind, kind)} {call_id:016x}{cause}")
            self.received.append((at, kind, call_id, parameters))
            self.changed.notify_all()

    def find(self, matches):
        with self.changed:
            return next((m for m in self.received if matches(m)), None)

    def wait_for(self, matches, seconds):
        with self.changed:
            self.changed.wait_for(lambda: any(matches(m) for m in self.received) or self.closed_at, seconds)
            return next((m for m in self.received if matches(m)), None)

    def final_answer(self, call_id, seconds):
        return self.wait_for(lambda m: m[2] == call_id and m[1] in (ANSWER, RELEASE), seconds)

    def close(self):
        close_socket(self.sock)


# ---- the platform ------------------------------------------------------------------------------------------------


def settings(exchange_count, home=0):
    """Settings of a small deployment: two classes, mesh, no second copies."""
    ms = 1_000_000
    grades = [{"name": name, "aim": 1200 * ms, "deadline": 9000 * ms, "worth": worth, "late-worth": 0.25,
               "idempotency": "safe", "dedup-scope": "all", "key-ttl": 5000 * ms, "streaming": True}
              for name, worth in (("result-view", 1.0), ("result-post", 3.0))]
    return {
        "az": "praha", "dcs": ["praha", "brno", "ostrava"], "tick": 5 * ms, "instances": exchange_count,
        "my-number": home, "family": "trunks", "counted-by": "request", "clients": {"marks-retry": False},
        "registry-mode": "pushed", "kinds": ["std"],
        "family-info": {"shape": "meshed", "home-no": home, "release": 300 * ms, "resend": 500 * ms,
                        "circuits-by-class": [1, 1], "mean-hold": [11400 * ms, 9100 * ms], "class-cells": [],
                        "far-reports": "none", "route-advice": True, "tells-wait": False},
        "grades": grades,
        "permissions": {"attempts-cap": 5, "cancel": True, "may-probe": False, "may-duplicate": False,
                        "peer-messages": False, "connect-timeout": 500 * ms, "idle-close": 600_000 * ms,
                        "max-open": 20_000, "multiplex": 1_048_576, "retry-after": True,
                        "max-retry-after": 2000 * ms, "cpu-us-per-s": 300_000, "cpu-us-per-request": 0.0},
        "charges": {"late-fail": 0.08, "waste": 0.02, "probe": 0.0},
        "goal": {"whole": 0.6, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.1},
        "report": {"fields": ["spare", "total"], "how": "probe"},
        "rules": {"answer-slack": 20 * ms, "ask-within": 10_000 * ms, "cold": 15_000 * ms, "cold-from": 0.34,
                  "drain-grace": 500 * ms, "overload-factor": 2.0, "overload-for": 2000 * ms},
        "weights": "none", "tier": 0, "tiers": ["results-exchange"], "realms": []}


class Controller:
    """One call controller, started with the command `run` of the deploy file."""

    def __init__(self, record, journal, exchange_count, memory_mb=64, sockets=1024):
        self.record, self.journal, self.exchange_count = record, journal, exchange_count
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        if not os.path.exists(os.path.join(ROOT, "target", "release", "dillhold")):
            raise CannotRun("target/release/dillhold is not built")
        self.port = free_port()
        self.folder = tempfile.mkdtemp(prefix="dillhold-review-")
        self.config = os.path.join(self.folder, "config.json")
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
            self.command = re.search(r'^run = "(.*)"$', deploy.read(), re.M).group(1)
        self.process, self.errors = None, open(os.path.join(self.folder, "errors"), "wb")
        self.write_config()

    def write_config(self):
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "%016x" % new_id(),
                  "limits": self.limits, "journal": f"127.0.0.1:{self.journal.port}", "known": self.journal.known(),
                  "settings": settings(self.exchange_count)}
        with open(self.config + ".new", "w", encoding="utf-8") as out:
            json.dump(config, out)
        os.replace(self.config + ".new", self.config)

    def start(self):
        """Starts the program and waits until it passes a test, as the front does."""
        self.write_config()
        private = os.path.join(self.folder, "tmp")
        shutil.rmtree(private, ignore_errors=True)
        os.mkdir(private)
        environment = dict(os.environ, EDGE_CONFIG=self.config, EDGE_NAME="n0",
                           EDGE_LISTEN=f"127.0.0.1:{self.port}", TMPDIR=private)
        self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.errors, stderr=self.errors,
                                        preexec_fn=end_with_the_script)
        self.record.add("platform", "call controller started")
        wait_until = time.time() + 30
        while time.time() < wait_until:
            if self.process.poll() is not None:
                raise CannotRun(f"the call controller ended at its start with {self.process.returncode}")
            try:
                front = Caller(self.record, self.port, name="front")
                passed = front.test()
                front.close()
                if passed:
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun("the call controller was not ready within 30 s")

    def signal(self, number):
        self.record.add("platform", f"{signal.Signals(number).name} to the call controller")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def memory_mb(self):
        """Resident memory, in MB; None if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                found = re.search(r"^VmRSS:\s+(\d+) kB", status.read(), re.M)
            return int(found.group(1)) / 1024 if found else None
        except OSError:
            return None

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.errors.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Deployment:
    """The exchanges 1 to `others`, the journal service and the call controller of exchange 0."""

    def __init__(self, record, others=4, **limits):
        self.record = record
        self.journal = Journal(record)
        self.exchanges = {n: Exchange(record, f"exchange {n}", n) for n in range(1, others + 1)}
        own = Exchange(record, "exchange 0", 0)
        targets = [target("s-0", own.port, 0)]
        targets += [target(f"s-{n}", x.port, n) for n, x in self.exchanges.items()]
        self.journal.publish(targets, whole=True)
        self.controller = Controller(record, self.journal, others + 1, **limits)

    def start(self):
        self.controller.start()
        wait_until = time.time() + 10
        while any(not x.connections for x in self.exchanges.values()):
            if time.time() > wait_until:
                raise CannotRun("the call controller did not connect to every exchange")
            time.sleep(0.02)
        time.sleep(0.2)

    def stop(self):
        self.controller.stop()


def main(folder, play, **limits):
    """Plays a case and ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    `play(record, deployment, trouble)` returns the broken rules, as texts."""
    record, deployment, status = Record(), None, 2
    trouble = os.environ.get("TROUBLE", "1") != "0"

    ends = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)

    def ended(number, _):
        raise CannotRun(f"not over after {SCRIPT_SECONDS} s" if number == signal.SIGALRM
                        else f"ended by {signal.Signals(number).name}")

    for number in ends:
        signal.signal(number, ended)
    signal.alarm(SCRIPT_SECONDS)
    record.add("script", "with the disruption" if trouble else "TROUBLE=0: without the disruption")
    try:
        deployment = Deployment(record, **limits)
        deployment.start()
        broken = play(record, deployment, trouble)
        for text in broken:
            record.add("BROKEN", text)
        status = 1 if broken else 0
    except CannotRun as error:
        record.add("script", f"could not run: {error}")
    except Exception as error:  # anything unexpected is no verdict
        record.add("script", f"could not run: {type(error).__name__}: {error}")
    finally:
        for number in ends:
            signal.signal(number, signal.SIG_IGN)
        if deployment:
            deployment.stop()
        record.add("script", {0: "the rule held", 1: "the rule was broken", 2: "no verdict"}[status])
        record.write(os.path.join(folder, "record.txt"))
    print(record.lines[-1].split("script", 1)[1].strip())
    sys.stdout.flush()
    os._exit(status)
