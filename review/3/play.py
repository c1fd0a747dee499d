"""An exchange answers the first attempt of each call with 500 and takes the next one. Some answers come twice.

A call may never have two attempts out at once: no INVITE may arrive while an earlier attempt of the same call has no
end yet, or stands, and has not been given up.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import Caller, main, new_id  # noqa

CALLS = 18
SECOND_COPY_AFTER = 0.010  # "some milliseconds late"
SET_UP_SECONDS = 0.06


def play(record, deployment, trouble):
    exchange = deployment.exchanges[1]
    attempts, numbers, broken, copies = {}, {}, [], [0]

    def watch(connection, call_id, cseq, message):
        """Called for each INVITE at any exchange, before it is dealt with."""
        for other in deployment.exchanges.values():
            with other.lock:
                out = call_id in other.pending
                stands = call_id in other.standing
            if out or stands:
                text = (f"INVITE {call_id:016x} CSeq {cseq} arrived at {connection.exchange.name} while an earlier "
                        f"attempt of this call {'was out' if out else 'stood'} at {other.name}")
                record.add("check", text)
                broken.append(text)

    def failing(connection, call_id, cseq, message):
        watch(connection, call_id, cseq, message)
        attempts[call_id] = attempts.get(call_id, 0) + 1
        if attempts[call_id] > 1:
            connection.exchange.answer_later(connection, call_id, cseq, message["body"], SET_UP_SECONDS)
            return True
        record.add(exchange.name, f"500 to INVITE {call_id:016x} CSeq {cseq}")
        connection.respond(call_id, cseq, 500, "Error")
        if trouble and numbers[call_id] % 3 == 2:
            def second_copy():
                record.add(exchange.name, f"500 to INVITE {call_id:016x} CSeq {cseq}, second copy")
                connection.respond(call_id, cseq, 500, "Error")

            copies[0] += 1
            timer = threading.Timer(SECOND_COPY_AFTER, second_copy)
            timer.daemon = True
            timer.start()
        return True

    def sound(connection, call_id, cseq, message):
        watch(connection, call_id, cseq, message)
        return False

    for other in deployment.exchanges.values():
        other.on_invite = failing if other is exchange else sound

    callers = Caller(record, deployment.controller.port)
    for n in range(CALLS):
        call_id = new_id()
        numbers[call_id] = n
        callers.set_up(call_id, exchange.number)
        callers.final_answer(call_id, 4)
        time.sleep(0.15)
    time.sleep(0.5)
    record.add("check", f"{CALLS} calls, {sum(attempts.values())} INVITEs at {exchange.name}, {copies[0]} second "
               f"copies, {len(broken)} times two attempts out at once")
    return broken


main(HERE, play)
