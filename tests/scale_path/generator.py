"""The load generator, a separate process: sends calls at planned times, without waiting for answers.

`python -m tests.scale_path.generator PLAN` takes a Plan as JSON and prints a Result as JSON. A call's time
runs from its planned time, so any stall counts for all calls that it delays.

A single thread waits with select() on the descriptor of an epoll set, as time-outs of select() are accurate
to about 60 microseconds, those of epoll, and so of asyncio, to 1 ms."""

from __future__ import annotations

import gc
import json
import random
import select
import socket
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field

from tests.net import raw_call
from tests.scale_path.order_servers import Body, decode

SPIN_NS = 200_000  # busy-waits for so long before a planned time
LEAD_NS = 50_000_000  # from the start to the first planned time
CLOSED, RETRIED = "closed between calls", "sent once more"
ALLOWED = ("answered", "opened", CLOSED, RETRIED)  # all other counts are faults
ANSWER_TIMEOUT_NS = 3_000_000_000  # after the last planned time; calls have a deadline of 2 s


@dataclass(frozen=True)
class Plan:
    ports: list[int]  # each call goes to one of them, chosen by the seed
    rate: float  # calls/s
    seconds: float
    seed: int
    arrivals: str = "poisson"  # or "fixed"
    connections: int = 1  # opened in advance to each port; more if all are busy


@dataclass
class Result:
    """`counts`: calls by outcome. `rows`: one for each answered call, with times in ns: delay of sending,
    from planned time to answer, to the order server, back from it, whether it was the first on the server's
    connection, and its planned time from the start."""

    planned: int
    counts: dict[str, int] = field(default_factory=dict)
    rows: list[tuple[int, int, int, int, bool, int]] = field(default_factory=list)


def arrival_times(plan: Plan) -> list[int]:
    """The planned send times, in ns from the start."""
    draw, at, found = random.Random(plan.seed), 0.0, list[int]()
    while True:
        at += draw.expovariate(plan.rate) if plan.arrivals == "poisson" else 1 / plan.rate
        if at > plan.seconds + 1e-9:
            return found
        found.append(int(at * 1e9))


class Call:
    def __init__(self, trace: str, port: int, planned_ns: int) -> None:
        self.trace, self.port, self.planned_ns = trace.encode(), port, planned_ns
        self.data = raw_call(trace=trace)
        self.sent_ns = self.attempts = 0


class Connection:
    """Carries one call at a time; the next only after the complete answer to the previous one."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.sock = socket.create_connection(("127.0.0.1", port), 5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.call: Call | None = None
        self.data = b""

    def has_no_input(self) -> bool:
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return not poll.poll(0)

    def classify_input(self) -> str:
        """The kind of input received between calls: a close is allowed, another answer is a fault."""
        try:
            return "second answer" if self.sock.recv(1) else CLOSED
        except OSError:
            return CLOSED

    def answer(self) -> tuple[int, bytes] | None:
        """Status and body, once the answer is complete."""
        head, found, body = self.data.partition(b"\r\n\r\n")
        if not found:
            return None
        length = next(
            int(line[15:]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")
        )
        return (int(head[9:12]), body[: length + 1]) if len(body) >= length else None


class Generator:
    def __init__(self, plan: Plan) -> None:
        draw, start = random.Random(~plan.seed), time.monotonic_ns() + LEAD_NS
        self._start = start
        self._calls = [
            Call(f"{plan.seed:08x}{n:08x}", draw.choice(plan.ports), start + at)
            for n, at in enumerate(arrival_times(plan))
        ]
        self._idle = {p: [Connection(p) for _ in range(plan.connections)] for p in plan.ports}
        self._busy: dict[int, Connection] = {}
        self._poll = select.epoll()
        self._counts: Counter[str] = Counter()
        self._result = Result(len(self._calls))
        shift = max(0, time.monotonic_ns() + LEAD_NS - start)  # the time that opening connections took
        self._start += shift
        for call in self._calls:
            call.planned_ns += shift

    def run(self) -> Result:
        remaining, end = iter(self._calls), self._calls[-1].planned_ns + ANSWER_TIMEOUT_NS
        call = next(remaining, None)
        while (now := time.monotonic_ns()) < end and (call or self._busy):
            while call and call.planned_ns <= now:
                self._begin(call, self._take_connection(call.port))
                call = next(remaining, None)
            until = call.planned_ns - SPIN_NS if call else end
            wait_s = max(0, until - time.monotonic_ns()) / 1e9
            if select.select([self._poll], [], [], wait_s)[0]:
                for descriptor, _ in self._poll.poll(0):
                    self._read(self._busy[descriptor])
        self._counts["unanswered"] += len(self._busy)
        idle = (connection for port in self._idle for connection in self._idle[port])
        self._counts.update(
            connection.classify_input() for connection in idle if not connection.has_no_input()
        )
        self._result.counts = dict(self._counts)
        return self._result

    def _begin(self, call: Call, connection: Connection) -> None:
        connection.call, connection.data = call, b""
        call.attempts += 1
        call.sent_ns = call.sent_ns or time.monotonic_ns()
        self._busy[connection.sock.fileno()] = connection
        self._poll.register(connection.sock, select.EPOLLIN)
        try:
            connection.sock.send(call.data)
        except OSError:
            self._on_broken(connection)

    def _take_connection(self, port: int) -> Connection:
        while self._idle[port]:
            connection = self._idle[port].pop()
            if connection.has_no_input():
                return connection
            self._counts[connection.classify_input()] += 1
            connection.sock.close()
        return self._open(port)

    def _open(self, port: int) -> Connection:
        self._counts["opened"] += 1
        return Connection(port)

    def _read(self, connection: Connection) -> None:
        try:
            data = connection.sock.recv(65536)
        except OSError:
            data = b""
        now = time.monotonic_ns()
        if not data:
            self._on_broken(connection)
            return
        connection.data += data
        if answer := connection.answer():
            call, connection.call = connection.call, None
            assert call
            self._on_answer(call, now, *answer)
            self._unregister(connection)
            self._idle[connection.port].append(connection)

    def _on_answer(self, call: Call, now: int, status: int, data: bytes) -> None:
        if status != 200:
            self._counts[f"status {status}"] += 1
            return
        body: Body | None = decode(data)
        if body is None or body.trace != call.trace or not call.sent_ns <= body.received_ns <= now:
            self._counts["wrong body"] += 1
            return
        self._counts["answered"] += 1
        late, took = call.sent_ns - call.planned_ns, now - call.planned_ns
        there, back = body.received_ns - call.sent_ns, now - body.answered_ns
        self._result.rows.append((late, took, there, back, body.first, call.planned_ns - self._start))

    def _unregister(self, connection: Connection) -> None:
        self._poll.unregister(connection.sock)
        del self._busy[connection.sock.fileno()]

    def _on_broken(self, connection: Connection) -> None:
        """Retry once on a new connection, as the server may have closed this one before reading the call."""
        call = connection.call
        self._unregister(connection)
        connection.sock.close()
        assert call
        if connection.data or call.attempts > 1:
            self._counts["broken"] += 1
            return
        self._counts[RETRIED] += 1
        self._begin(call, self._open(call.port))


def main() -> None:
    generator = Generator(Plan(**json.loads(sys.argv[1])))
    gc.collect()
    gc.disable()  # garbage collection would count as latency
    print(json.dumps(asdict(generator.run())))


if __name__ == "__main__":
    main()
