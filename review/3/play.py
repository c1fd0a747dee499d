"""An exchange is failing: it answers half of its set-ups with 500. Some answers, of any exchange, come twice.

A call may never have two attempts out at once: no INVITE may arrive while an earlier attempt of the same call has no
end yet, or stands, and has not been given up.
"""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import Caller, main, new_id  # noqa

CALLS = 90
ONE_ANSWER_IN = 3  # "some" answers come twice, from any exchange alike
SECOND_COPY_AFTER = 0.010  # "some milliseconds late"
SET_UP_SECONDS = 0.06  # from a set-up to its answer, of either kind
FAILING_SHARE = 0.5


def play(record, deployment, trouble):
    failing_exchange = deployment.exchanges[1]
    failures = random.Random(24)
    broken, answers = [], {"invites": 0, "given": 0, "copied": 0}
    lock = threading.Lock()

    def on_invite(connection, call_id, cseq, message):
        exchange = connection.exchange
        for other in deployment.exchanges.values():
            with other.lock:
                out, stands = call_id in other.pending, call_id in other.standing
            if out or stands:
                text = (f"INVITE {call_id:016x} CSeq {cseq} arrived at {exchange.name} while an earlier attempt of "
                        f"this call {'was out' if out else 'stood'} at {other.name}")
                record.add("check", text)
                broken.append(text)
        with lock:
            answers["invites"] += 1
            fails = exchange is failing_exchange and failures.random() < FAILING_SHARE
        exchange.answer_later(connection, call_id, cseq, message["body"], SET_UP_SECONDS, 500 if fails else None)
        return True

    def copies_answer(call_id, code):
        with lock:
            answers["given"] += 1
            if not trouble or answers["given"] % ONE_ANSWER_IN:
                return None
            answers["copied"] += 1
            return SECOND_COPY_AFTER

    for exchange in deployment.exchanges.values():
        exchange.on_invite, exchange.copies_answer = on_invite, copies_answer

    callers = Caller(record, deployment.controller.port)
    for n in range(CALLS):
        call_id = new_id()
        callers.set_up(call_id, (1, 2, 1, 3, 1, 4)[n % 6])
        callers.final_answer(call_id, 4)
        time.sleep(0.1)
    time.sleep(0.5)
    record.add("check", f"{CALLS} calls, {answers['invites']} INVITEs, {answers['given']} answers, "
               f"{answers['copied']} of them twice; {len(broken)} times two attempts out at once")
    return broken


main(HERE, play)
