"""A bad client sends a request with the id of an open one and takes it back: does the open one get its answer?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from kit import *  # noqa: E402,F403

WAIT_MS = 3000  # the brief: a try is given up after 30 to 40% of 9 s
ANSWER_AFTER_S = 0.6  # an exchange that is busy, within the wanted 1.2 s
SLACK_S = 0.020 + SOCKET_ALLOWANCE_S
CALLS = 20


async def run(record, folder, controllers):
    exchanges = [await Exchange(record, n, answer_after=ANSWER_AFTER_S).start() for n in range(1, 6)]
    own = Exchange(record, 0)
    own.address = ("127.0.0.1", free_port())
    journal = await Journal(record, [e.entry() for e in [own] + exchanges]).start()
    controller = Controller(record, folder)
    controllers.append(controller)
    controller.configure(journal.address, journal.known())
    controller.start()
    if not await controller.ready():
        return NOT_RUN, "the call controller was not ready"
    if not await until(lambda: all(e.connections for e in exchanges), 5):
        return NOT_RUN, "the call controller did not connect"

    caller = await Caller(record, "usual").open(controller.address)
    caller.send(set_up(0x7000, 1, WAIT_MS))
    if not await caller.wait_for(ANSWER, 0x7000, 3):
        return NOT_RUN, "the first call did not stand"
    sent_at, bad_clients = {}, []
    for n in range(CALLS):
        call = 0x7100 + n
        sent_at[call] = record.now()
        caller.send(set_up(call, 1 + n % 5, WAIT_MS))
        if TROUBLE and n % 2:
            await asyncio.sleep(0.2)
            if not any(c == call for e in exchanges for _, _, c in e.set_ups):
                record(f"{call:016x} was not sent on")
            # A new connection each time; the id of the open request, another description, taken back at once.
            bad = await Caller(record, "bad").open(controller.address)
            bad_clients.append(bad)
            bad.send(set_up(call, 1 + n % 5, WAIT_MS, number="0000000000000bad",
                            description="another one\r\nm=audio 31002 RTP/AVP 0\r\n"))
            bad.send(message(RELEASE, call, [(114, b"\x10")]))
        await asyncio.sleep(0.3)
    await asyncio.sleep(WAIT_MS / 1000 + 0.5)

    for bad in bad_clients:
        bad.close()
    answers = {}
    for seconds, kind, call, _ in caller.got:
        if call in sent_at and kind in (ANSWER, RELEASE):
            answers.setdefault(call, seconds - sent_at[call])
    unanswered = [c for c in sent_at if answers.get(c, 1e9) > WAIT_MS / 1000 + SLACK_S]
    run_for = [c for c in unanswered if any(c == x for e in exchanges for _, _, x in e.set_ups)]
    connection = "open" if caller.closed_at is None else "closed"
    record(f"{CALLS} set-ups of the usual caller: {len(answers)} answered, {len(unanswered)} not; its connection is {connection}")
    if unanswered:
        return BROKEN, (f"{len(unanswered)} of {CALLS} set-ups of the usual caller never got a final answer, {len(run_for)} of them "
                        f"had been sent on to an exchange; it had given up none, and its connection is {connection}")
    return HELD, f"all {CALLS} set-ups got a final answer, the last after {max(answers.values()):.2f} s"


play(HERE, run)
