"""An exchange that lives has all the connections it takes: do the calls that stand there go on?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from kit import *  # noqa: E402,F403

CONNECTIONS = 6  # that the exchange takes: one from each of the six call controllers
CALLS = 3
HOLD_S = 12  # the page: calls last 10 to 13 s on average


class FewConnections(Exchange):
    """Refuses further connections while it has all that it takes."""

    def limit(self):
        if len(self.connections) >= CONNECTIONS and self.server.is_serving():
            self.server.close()
            self.record(f"exchange {self.number} has all the {CONNECTIONS} connections it takes; it refuses further ones")

    async def serve(self, reader, writer):
        task = asyncio.get_running_loop().call_soon(self.limit)
        await super().serve(reader, writer)
        task.cancel()
        if not self.server.is_serving():
            self.server = await asyncio.start_server(self.serve, *self.address, backlog=128)
            self.record(f"exchange {self.number} takes connections again")


async def run(record, folder, controllers):
    exchanges = [await FewConnections(record, n).start() for n in range(1, 6)]
    own = Exchange(record, 0)
    own.address = ("127.0.0.1", free_port())
    journal = await Journal(record, [e.entry() for e in [own] + exchanges]).start()
    controller = Controller(record, folder)
    controllers.append(controller)
    controller.configure(journal.address, journal.known())
    controller.start()
    if not await controller.ready():
        return NOT_RUN, "the call controller was not ready"
    busy = exchanges[0]
    if not await until(lambda: busy.connections, 5):
        return NOT_RUN, "the call controller did not connect"
    if TROUBLE:
        others = [await asyncio.open_connection(*busy.address) for _ in range(CONNECTIONS - 1)]
        record(f"{len(others)} other call controllers connected to exchange 1")
        await asyncio.sleep(0.5)

    caller = await Caller(record, "a").open(controller.address)
    calls = [0x7100 + n for n in range(CALLS)]
    for call in calls:
        caller.send(set_up(call, 1))
        if not await caller.wait_for(ANSWER, call, 3):
            return NOT_RUN, "a call did not stand"
    stood_at = record.now()

    told_early, other = {}, 0x9000
    while record.now() < stood_at + HOLD_S:
        # The usual traffic of the other exchanges.
        other += 1
        caller.send(set_up(other, 2 + other % 4))
        await asyncio.sleep(0.25)
        for seconds, kind, call, parameters in caller.got:
            if kind == RELEASE and call in calls and call not in told_early:
                told_early[call] = (seconds - stood_at, parameters[114][0])
    carried = [call for call in calls if call in busy.standing]
    heard = [call for _, call in busy.heard_byes if call in calls]
    connected = len(busy.connections)
    for call in calls:
        busy.release(call)
    await asyncio.sleep(1.2)

    record(f"after {HOLD_S} s exchange 1 carried {len(carried)} of {CALLS} calls, had {connected} connections, "
           f"and had got {len(heard)} releases from the call controller")
    if told_early:
        at = min(seconds for seconds, _ in told_early.values())
        causes = sorted({cause for _, cause in told_early.values()})
        return BROKEN, (f"{len(told_early)} of {CALLS} standing calls were released towards their caller, cause {causes}, first "
                        f"after {at:.1f} s; nobody had released them, and the exchange still carried {len(carried)}")
    told = [call for call in calls if caller.has(RELEASE, call)]
    if len(told) < CALLS:
        return BROKEN, f"{CALLS - len(told)} calls that the exchange released were not released towards their caller"
    return HELD, "the calls stood until the exchange released them"


play(HERE, run)
