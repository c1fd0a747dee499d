"""A crowd connects and stops half way through a message. Sound callers go on: each looks something up and then posts a
finish list of 12 KB on the same connection.

A set-up that the call controller has sent on to an exchange has to be answered. One is lost if the connection ends
without a final answer.
"""
import os
import selectors
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import ANSWER, RELEASE, Caller, CannotRun, main, new_id, set_up_message  # noqa

MEMORY_MB, DESCRIPTORS = 32, 1024
CROWD = 500  # connections at a time, below the 512 callers that the call controller takes with these descriptors
CALLERS = 24
SET_UP_SECONDS = 0.8
# Half of a message of 16 KiB, the longest one.
HALF_A_MESSAGE = set_up_message(new_id(), 1, description=b"x" * 16200)[:8300]
FINISH_LIST = b"\r\n".join(b"%04d club %03d runner %05d 00:41:%02d" % (n, n % 97, n * 7, n % 60) for n in range(330))


class Crowd:
    """Keeps a number of connections to the call controller on each of which half a message was sent."""

    def __init__(self, port, size):
        self.port, self.size, self.made, self.closed, self.stopped = port, size, 0, 0, False
        self.connected = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        selector = selectors.DefaultSelector()
        while not self.stopped:
            while self.connected < self.size and not self.stopped:
                try:
                    sock = socket.create_connection(("127.0.0.1", self.port), timeout=5)
                    sock.sendall(HALF_A_MESSAGE)
                except OSError:
                    break
                sock.setblocking(False)
                selector.register(sock, selectors.EVENT_READ)
                self.connected, self.made = self.connected + 1, self.made + 1
            for key, _ in selector.select(0.02):
                try:
                    data = key.fileobj.recv(65536)
                except OSError:
                    data = b""
                if not data:
                    selector.unregister(key.fileobj)
                    key.fileobj.close()
                    self.connected, self.closed = self.connected - 1, self.closed + 1


def play(record, deployment, trouble):
    controller = deployment.controller
    for exchange in deployment.exchanges.values():
        exchange.set_up_seconds = SET_UP_SECONDS
    crowd = [Crowd(controller.port, CROWD // 4) for _ in range(4)] if trouble else []
    if trouble:
        time.sleep(1.5)
        record.add("crowd", f"{sum(c.connected for c in crowd)} connections with half a message each")

    sent = []  # connection, call id, what
    for n in range(CALLERS):
        caller = Caller(record, controller.port, name=f"caller {n + 1}")
        look_up, post = new_id(), new_id()
        caller.set_up(look_up, n % 4 + 1)
        time.sleep(0.1)
        caller.set_up(post, (n + 1) % 4 + 1, call_class=b"result-post", description=FINISH_LIST)
        sent += [(caller, look_up, "look-up"), (caller, post, "finish list")]
        time.sleep(0.2)
    time.sleep(4)
    if trouble:
        record.add("crowd", f"{sum(c.made for c in crowd)} connections made, {sum(c.closed for c in crowd)} of them "
                   "ended by the call controller")
    record.add("platform", f"memory: {controller.memory_mb():.1f} MB of {MEMORY_MB}")
    for part in crowd:
        part.stopped = True

    broken, answered, not_sent_on = [], 0, 0
    sent_on = {call_id for x in deployment.exchanges.values() for _, call_id, _ in x.invites}
    for caller, call_id, what in sent:
        if caller.find(lambda m: m[2] == call_id and m[1] in (ANSWER, RELEASE)):
            answered += 1
        elif call_id not in sent_on:
            not_sent_on += 1  # excused: nothing was sent on for it
        else:
            how = f"ended by the call controller at {caller.closed_at:.3f}" if caller.closed_at else "still open"
            broken.append(f"{what} {call_id:016x} of {caller.name}: sent on to an exchange, no answer, connection {how}")
    record.add("check", f"{len(sent)} set-ups of sound callers: {answered} answered, {len(broken)} sent on and lost, "
               f"{not_sent_on} not sent on and not answered (not counted)")
    return broken


main(HERE, play, memory_mb=MEMORY_MB, sockets=DESCRIPTORS)
