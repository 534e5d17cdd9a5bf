"""A change that lies unread while the process stands still, or while one turn of its loop takes long."""

from __future__ import annotations

import socket
import time
from pathlib import Path

from tests.drains import scene
from tests.net import member_list, until
from tests.observer import GRACE_S

REQUESTS = 20


async def test_requests_read_after_a_stop_go_by_the_change_that_was_written_meanwhile(tmp_path: Path) -> None:
    """They wait ahead of the change, longer than the grace, and the loop comes to them first."""
    async with scene(tmp_path) as it:
        await until(lambda: bool(it.it.discovery.connections))
        assert await it.call("warm") == 200
        sockets = [socket.create_connection(it.it.address) for _ in range(REQUESTS)]
        await it.rested()  # accepted by now
        for n, each in enumerate(sockets):
            each.sendall(it.seen.call(f"r{n}"))
        it.revision += 1
        it.seen.tell(it.it.discovery, member_list(it.revision, [it.row(0, "draining")], complete=False))
        time.sleep(1.5 * GRACE_S)  # the process stands still
        await it.read()
        assert await it.call("after") == 200
        for each in sockets:
            each.close()
        assert len(it.seen.traces("s-0")) + len(it.seen.traces("s-1")) >= 2
