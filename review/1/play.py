"""Three bad clients send hundreds of set-ups at once, and the same again as soon as they are turned away.

The stand-in of the platform measures the memory of the call controller and kills it when it holds more than its limit,
as the deployment page says. Usual callers set calls up all the while.
"""
import os
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import (ANSWER, CAUSE, CLASS, DESCRIPTION, FIGURES, NUMBER, RELEASE, SET_UP, TIMEOUT_MS, Caller,  # noqa
                      CannotRun, main, new_id, set_up_message)

MEMORY_MB = 32
BAD_CLIENTS = 3
AT_ONCE = 300  # "hundreds of requests at once"
SECONDS = 25
NO_SUCH_EXCHANGE = 4_000_000  # "figures that are out of range"


class BadClient:
    """Sends at full speed and reads what it is sent."""

    def __init__(self, record, port, number):
        self.record, self.name, self.sent, self.turned_away = record, f"bad {number}", 0, 0
        self.next_id = new_id() >> 1
        example = set_up_message(1, NO_SUCH_EXCHANGE, timeout_ms=18000, number=b"7f3a9c21e0b4d655")
        self.before_id, self.after_id = example[:3], example[11:]
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.stopped = threading.Event()
        threading.Thread(target=self.run, daemon=True).start()

    def batch(self):
        ids = range(self.next_id, self.next_id + AT_ONCE)
        self.next_id += AT_ONCE
        return b"".join(self.before_id + struct.pack(">Q", call_id) + self.after_id for call_id in ids)

    def run(self):
        data = b""
        try:
            while not self.stopped.is_set():
                self.sock.sendall(self.batch())
                self.sent += AT_ONCE
                while self.turned_away < self.sent:
                    more = self.sock.recv(1 << 16)
                    if not more:
                        raise OSError("closed by the call controller")
                    data += more
                    at = 0
                    while len(data) - at >= 2:
                        length = 2 + struct.unpack(">H", data[at:at + 2])[0]
                        if len(data) - at < length:
                            break
                        at += length
                        self.turned_away += 1
                    data = data[at:]
        except OSError as error:
            self.record.add(self.name, f"connection ended: {error}")
        self.record.add(self.name, f"{self.sent} set-ups sent, {self.turned_away} turned away")


def play(record, deployment, trouble):
    controller = deployment.controller
    usual = Caller(record, controller.port)
    calls, broken, stopped = {}, [], threading.Event()

    def usual_calls():
        destination = 0
        while not stopped.is_set():
            call_id, destination = new_id(), destination % len(deployment.exchanges) + 1
            calls[call_id] = usual.set_up(call_id, destination)
            exchange = deployment.exchanges[destination]

            def end(exchange=exchange, call_id=call_id):
                if call_id in exchange.standing:
                    exchange.release(call_id)

            timer = threading.Timer(2.0, end)
            timer.daemon = True
            timer.start()
            stopped.wait(0.25)

    threading.Thread(target=usual_calls, daemon=True).start()
    time.sleep(1)
    record.add("platform", f"memory: {controller.memory_mb():.1f} MB of {MEMORY_MB}")
    bad = [BadClient(record, controller.port, n) for n in range(1, BAD_CLIENTS + 1)] if trouble else []
    began, told, killed = time.time(), 0, False
    while time.time() < began + SECONDS and not killed:
        time.sleep(0.02)
        if controller.process.poll() is not None:
            broken.append(f"the call controller ended by itself with {controller.process.returncode}")
            break
        held = controller.memory_mb()
        if time.time() >= began + told:
            told += 1
            sent = sum(client.sent for client in bad)
            record.add("platform", f"memory: {held:.1f} MB of {MEMORY_MB}; {sent} set-ups of bad clients")
        if held > MEMORY_MB:
            killed = True
            sent = sum(client.sent for client in bad)
            record.add("platform", f"memory: {held:.1f} MB of {MEMORY_MB} after {sent} set-ups of bad clients; killed")
            controller.kill()
            broken.append(f"the call controller held {held:.1f} MB, its limit is {MEMORY_MB} MB: killed, so it has "
                          f"crashed {time.time() - began:.1f} s after the bad clients came")
    stopped.set()
    for client in bad:
        client.stopped.set()
    time.sleep(0.3 if broken else 4)
    unanswered = [c for c in calls if not usual.find(lambda m: m[2] == c and m[1] in (ANSWER, RELEASE))]
    record.add("check", f"{len(calls)} set-ups of usual callers, {len(unanswered)} without an answer")
    if unanswered:
        broken.append(f"{len(unanswered)} set-ups of usual callers have no answer")
    return broken


main(HERE, play, memory_mb=MEMORY_MB)
