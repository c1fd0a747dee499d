"""A planned restart with a crowd of idle clients: is a call that ends after it released towards its caller?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from kit import *  # noqa: E402,F403

SOCKETS = 512  # the page: 256 to 1,024 descriptors
CROWD = 100  # the page: clients connect by hundreds, in crowds of thousands
FIRST_CALL_AFTER_S = 3.0  # seconds after the end of the call
WITHIN_S = 8.0  # the page: within 8 s after its end, if no release could be sent
CALLS = 3


async def run(record, folder, controllers):
    exchanges = [await Exchange(record, n).start() for n in range(1, 6)]
    own = Exchange(record, 0)
    own.address = ("127.0.0.1", free_port())
    journal = await Journal(record, [e.entry() for e in [own] + exchanges]).start()
    controller = Controller(record, folder, sockets=SOCKETS)
    controllers.append(controller)
    controller.configure(journal.address, journal.known())
    controller.start()
    if not await controller.ready():
        return NOT_RUN, "the call controller was not ready"

    before = await Caller(record, "before").open(controller.address)
    calls = [0x7100 + n for n in range(CALLS)]
    for call in calls:
        before.send(set_up(call, 1))
        if not await before.wait_for(ANSWER, call, 3):
            return NOT_RUN, "a call did not stand"

    crowd = []
    if TROUBLE:
        controller.signal(signal.SIGTERM)
        if not await controller.ended(6):
            return NOT_RUN, "the call controller did not end after SIGTERM"
        record(f"the call controller ended with {controller.process.returncode}")
        controller.start()
        if not await controller.ready():
            return NOT_RUN, "the call controller was not ready again"
        for _ in range(CROWD):
            crowd.append(socket.create_connection(controller.address))
        record(f"{CROWD} clients connected; they say nothing")
    else:
        await asyncio.sleep(1)

    ended_at = record.now()
    for call in calls:
        exchanges[0].release(call)
    await asyncio.sleep(FIRST_CALL_AFTER_S)
    after = await Caller(record, "after").open(controller.address)
    others = []
    while record.now() < ended_at + WITHIN_S + 4:
        others.append(0x9000 + len(others))
        after.send(set_up(others[-1], 2 + len(others) % 4))
        await asyncio.sleep(0.5)
    for client in crowd:
        client.close()

    stood = sum(1 for call in others if after.has(ANSWER, call))
    record(f"after the restart the caller made {len(others)} calls, {stood} of them stood")
    if stood == 0:
        return NOT_RUN, "no call stood after the restart"
    told = {call: seconds - ended_at for c in (before, after) for seconds, kind, call, _ in c.got
            if kind == RELEASE and call in calls}
    late = [call for call in calls if told.get(call, 1e9) > WITHIN_S + SOCKET_ALLOWANCE_S]
    if late:
        return BROKEN, (f"{len(late)} of {CALLS} calls that their exchange released were not released towards their caller within "
                        f"{WITHIN_S:.0f} s, nor in the {WITHIN_S + 4:.0f} s of the run; a caller was there after {FIRST_CALL_AFTER_S:.0f} s")
    return HELD, f"all calls were released towards their caller, the last after {max(told.values()):.2f} s"


play(HERE, run)
