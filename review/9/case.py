"""The journal service is slow, but answers: do set-ups to an exchange that drains stop in time?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from kit import *  # noqa: E402,F403

ANSWER_TAKES_S = 4.0  # the page: an answer may come after up to 5 s, and what there is to tell up to 7 s late
TOLD_AT_LATEST_S = 7.0
SECONDS = 22


async def run(record, folder, controllers):
    exchanges = [await Exchange(record, n).start() for n in range(1, 6)]
    own = Exchange(record, 0)
    own.address = ("127.0.0.1", free_port())
    journal = await Journal(record, [e.entry() for e in [own] + exchanges]).start()
    controller = Controller(record, folder)
    controllers.append(controller)
    controller.configure(journal.address, journal.known())
    if TROUBLE:
        journal.delay = ANSWER_TAKES_S
        record(f"the journal service is slow: an answer takes {ANSWER_TAKES_S:.0f} s once it is due")
    controller.start()
    if not await controller.ready():
        return NOT_RUN, "the call controller was not ready"

    drains = exchanges[1]
    caller = await Caller(record, "a").open(controller.address)
    begin, told_at, sent = record.now(), None, 0
    while record.now() < begin + SECONDS:
        sent += 1
        caller.send(set_up(0x1000 + sent, 1 + sent % 5))
        await asyncio.sleep(0.1)
        if told_at is None and record.now() > begin + 6:
            told_at = journal.tell([drains.entry("DRAINING")])
            record(f"exchange {drains.number} drains")
    await asyncio.sleep(0.2)

    if not any(t < told_at for t, _, _ in drains.set_ups):
        return NOT_RUN, "no set-up went to the exchange before its drain"
    bound = told_at + TOLD_AT_LATEST_S + DRAIN_GRACE_S + SOCKET_ALLOWANCE_S
    late = [t - told_at for t, _, _ in drains.set_ups if t > bound]
    record(f"{sent} calls; the journal service was asked {len(journal.requests)} times, answered {journal.answered} times, "
           f"and lost its client {journal.abandoned} times before the answer")
    if late:
        return BROKEN, (f"{len(late)} set-ups to exchange {drains.number} later than {bound - told_at:.2f} s after its drain was in the "
                        f"journal service, the last {late[-1]:.1f} s after")
    after = [t - told_at for t, _, _ in drains.set_ups if t > told_at]
    return HELD, f"last set-up {after[-1]:.2f} s after the event" if after else "no set-up after the event"


play(HERE, run)
