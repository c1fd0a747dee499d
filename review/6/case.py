"""Clients take back hundreds of requests at once, with ids that no exchange knows: does the memory stay in its limit?"""

import os
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from kit import *  # noqa: E402,F403

MEMORY_MB = 32  # the page: 32 to 192 MB
SOCKETS = 1024  # the page: 256 to 1,024
CLIENTS = 300  # the page: clients connect by hundreds
TAKEN_BACK = 600  # the page: hundreds of requests taken back at once
SECONDS = 10


class Platform(threading.Thread):
    """Kills the call controller once it holds more memory than its limit, as the deployment page says."""

    def __init__(self, controller, record):
        super().__init__(daemon=True)
        self.record = record
        self.controller, self.peak, self.stopped, self.killed = controller, 0.0, False, None

    def run(self):
        while not self.stopped and self.controller.process.poll() is None:
            try:
                self.peak = max(self.peak, self.controller.peak_mb())
            except (OSError, StopIteration):
                return
            if self.peak > MEMORY_MB and self.killed is None:
                self.killed = self.peak
                self.controller.process.kill()
                self.record(f"platform: {self.peak:.1f} MB held, limit {MEMORY_MB} MB: the call controller was killed")
            time.sleep(0.005)


async def run(record, folder, controllers):
    exchanges = [await Exchange(record, n).start() for n in range(1, 6)]
    own = Exchange(record, 0)
    own.address = ("127.0.0.1", free_port())
    journal = await Journal(record, [e.entry() for e in [own] + exchanges]).start()
    controller = Controller(record, folder, memory_mb=MEMORY_MB, sockets=SOCKETS)
    controllers.append(controller)
    controller.configure(journal.address, journal.known())
    controller.start()
    if not await controller.ready():
        return NOT_RUN, "the call controller was not ready"
    platform = Platform(controller, record)
    platform.start()

    caller = await Caller(record, "usual").open(controller.address)
    begin, sent, bad = record.now(), 0, []
    while record.now() < begin + SECONDS and platform.killed is None:
        sent += 1
        caller.send(set_up(0x1000 + sent, 1 + sent % 5))
        if TROUBLE and sent == 20:
            for _ in range(CLIENTS):
                client = socket.create_connection(controller.address)
                client.setblocking(False)
                bad.append(client)
            record(f"{CLIENTS} bad clients connected")
        if TROUBLE and sent == 25:
            waves = [b"".join(message(RELEASE, (client << 40) + (n << 8) + 7, [(114, b"\x10")]) for n in range(TAKEN_BACK))
                     for client in range(1, CLIENTS + 1)]
            record(f"each of them takes back {TAKEN_BACK} requests with ids that no exchange knows: {len(waves[0])} bytes each")
            for client, wave in zip(bad, waves):
                client.send(wave)
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    platform.stopped = True
    platform.join()
    answered = sum(1 for _, kind, call, _ in caller.got if kind in (ANSWER, RELEASE) and call > 0x1000)
    record(f"usual caller: {sent} set-ups, {answered} answers and releases; most memory {platform.peak:.1f} MB")
    for client in bad:
        client.close()
    if TROUBLE and len(bad) < CLIENTS:
        return NOT_RUN, "ended before the bad clients came"
    if controller.process.poll() is not None and platform.killed is None:
        return BROKEN, f"the call controller ended by itself with {controller.process.returncode}"
    if platform.killed is not None:
        return BROKEN, f"{platform.killed:.1f} MB held, limit {MEMORY_MB} MB: killed by the platform"
    return HELD, f"at most {platform.peak:.1f} MB held, limit {MEMORY_MB} MB"


play(HERE, run)
