"""A call controller is killed and started again while calls stand. Then a caller dials a number whose lines are busy,
a caller releases one of the calls that stand, and exchanges end others.

Every call that an exchange releases has to be released towards the callers within 1 s (50 ms more on sockets). The
callers hold a connection all the while.
"""
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import ANSWER, RELEASE, Caller, CannotRun, main, new_id  # noqa

RELEASED_WITHIN = 1.0 + 0.05
WATCHED = 9.0  # longer than the 8 s that hold where no release could be sent


def play(record, deployment, trouble):
    controller, exchanges = deployment.controller, deployment.exchanges
    busy_numbers = set()

    def on_invite(connection, call_id, cseq, message):
        if call_id not in busy_numbers:
            return False
        record.add(connection.exchange.name, f"486 to INVITE {call_id:016x} CSeq {cseq}: lines busy")
        connection.respond(call_id, cseq, 486, "Busy", "X-Cause: lines_busy\r\n")
        return True

    for exchange in exchanges.values():
        exchange.on_invite = on_invite

    callers = Caller(record, controller.port)
    calls = []  # call id, exchange
    for n in range(6):
        call_id, exchange = new_id(), exchanges[n % len(exchanges) + 1]
        callers.set_up(call_id, exchange.number)
        answer = callers.final_answer(call_id, 4)
        if not answer or answer[1] != ANSWER:
            raise CannotRun(f"call {call_id:016x} does not stand")
        calls.append((call_id, exchange))
    time.sleep(1)

    if trouble:
        controller.signal(signal.SIGKILL)
        controller.process.wait()
        controller.start()
        time.sleep(0.3)  # the front takes it in
        callers = Caller(record, controller.port, name="callers")

    busy = new_id()
    busy_numbers.add(busy)
    callers.set_up(busy, 4)
    if not callers.final_answer(busy, 4):
        raise CannotRun("no answer to the set-up for a busy number")
    released_by_caller, exchange = calls[0]
    callers.release(released_by_caller)
    time.sleep(0.3)
    if released_by_caller not in exchange.released_by_controller:
        raise CannotRun("the release of the caller did not reach the exchange")

    ended = []  # call id, time of the exchange's BYE
    for call_id, exchange in calls[1:4]:
        ended.append((call_id, exchange.release(call_id)))
        time.sleep(0.15)
    if any(at is None for _, at in ended):
        raise CannotRun("an exchange had no connection to send its BYE on")
    time.sleep(WATCHED)

    broken = []
    for call_id, at in ended:
        heard = callers.find(lambda m: m[1] == RELEASE and m[2] == call_id)
        how = f"after {heard[0] - at:.3f} s" if heard else f"not at all within {WATCHED:.0f} s"
        record.add("check", f"call {call_id:016x}: BYE at {at:.3f}, released towards the callers {how}")
        if not heard or heard[0] - at > RELEASED_WITHIN:
            broken.append(f"call {call_id:016x}: released towards the callers {how}")
    record.add("check", "the connection of the callers "
               + (f"was closed by the call controller at {callers.closed_at:.3f}" if callers.closed_at
                  else "was open all the while"))
    return broken


main(HERE, play)
