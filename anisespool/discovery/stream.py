"""One call to discovery and, where it is answered, the watch that it becomes."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from anisespool import http1
from anisespool.config import Address
from anisespool.discovery.channel import Channel, open_channel
from anisespool.discovery.deadline import Failure
from anisespool.discovery.object_decoder import Lines
from anisespool.errors import DiscoveryFault, DiscoveryRefused, DiscoveryUnreachable
from anisespool.errors.system import SystemFailure, classify, described
from anisespool.log import fault


class News(NamedTuple):
    """What some bytes of a stream have made whole."""

    objects: list[dict[str, Any]]
    skipped: list[str]  # what could not be read, and why
    alive: bool  # an object or an empty line has become whole; parts of an object are no sign of life


class Stream:
    """Open from its creation until `close`, or until it ends by itself, which it logs. Times in monotonic
    seconds."""

    def __init__(
        self, address: Address, since: int, on_news: Callable[[Stream, News], None],
        on_change: Callable[[], None], make_room: Callable[[], object],
    ) -> None:  # fmt: skip
        """`since`: the revision to ask for changes after. `on_news`: bytes of the body have been
        read. `on_change`: the head has come, or the stream has ended. `make_room` frees a descriptor."""
        self.address, self.since = address, since
        self.began_s = self.last_byte_s = time.monotonic()
        self.has_told = False  # a list, or what changed
        self.head_s: float | None = None  # when the head of a watch had come
        self.failure = Failure.UNREACHABLE  # what its end shows, if it ends now
        self._on_news, self._on_change, self._make_room = on_news, on_change, make_room
        self._lines, self._signs = Lines(), 0
        self._chunks: list[bytes] = []  # of the body, since the last look
        self._channel: Channel | None = None
        self._task = asyncio.create_task(self._hold())
        self._task.add_done_callback(lambda _: on_change())

    @property
    def place(self) -> str:
        """For the log."""
        return "{}:{}".format(*self.address)

    @property
    def ended(self) -> bool:
        return self._task.done()

    def close(self) -> None:
        self._task.cancel()

    def look(self) -> None:
        """Read what has come, ahead of the loop."""
        if self._channel:
            self._channel.look()

    async def _hold(self) -> None:
        """From the call to the end of the watch, whatever ends it."""
        try:
            try:
                await self._read_all()
            except DiscoveryFault as error:
                fault("discovery", error)
            except (OSError, UnicodeError) as error:  # UnicodeError: a host's name that is none
                self._log_unreachable(error)
            self._hand_on(self._lines.finish())
        except Exception:  # whatever it was: without a watch, drains are missed for good
            traceback.print_exc()

    def _log_unreachable(self, error: OSError | UnicodeError) -> None:
        if isinstance(error, OSError) and classify(error) is SystemFailure.NO_RESOURCES:
            fault("discovery", described(error))
            self._make_room()
        else:
            fault("discovery", DiscoveryUnreachable(f"{type(error).__name__}: {error}"))

    async def _read_all(self) -> None:
        parser, channel = http1.ResponseParser(lambda data: self._chunks.append(data)), None
        try:
            channel = self._channel = await open_channel(self.address, partial(self._feed, parser))
            target = b"/v1/servers?stream=1&index=%d" % self.since
            request = http1.Request(b"GET", target, {}, b"", True)
            channel.write(http1.encode_request(request, self.place.encode(), {}))
            await channel.ended()
        finally:
            self._channel = None
            if channel:
                channel.close()
            parser.close()

    def _feed(self, parser: http1.ResponseParser, data: bytes) -> None:
        """Raises DiscoveryFault where the stream has to end, once all that came before its end is handed
        on: a change and the last chunk may come in one read."""
        parser.feed(data)
        self.last_byte_s = time.monotonic()
        if parser.status:
            self.failure = Failure.REFUSED
        if parser.status == 200 and self.head_s is None:
            self.head_s = self.last_byte_s
            self._on_change()
        chunks, self._chunks = self._chunks, []
        if chunks and parser.status == 200:
            self._hand_on(self._lines.feed(b"".join(chunks)))
            self._lines.check_size()
        if parser.broken or parser.response or parser.status not in (0, 200):
            raise DiscoveryRefused(f"the answer was {parser.status or 'no HTTP'}")

    def _hand_on(self, objects: list[dict[str, Any]]) -> None:
        signs, self._signs = self._signs, self._lines.signs
        self._on_news(self, News(objects, self._lines.take_skipped(), self._signs > signs))
