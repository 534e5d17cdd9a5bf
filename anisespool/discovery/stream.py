"""One streaming request (call) to discovery, which becomes a watch once discovery answers it."""

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
from anisespool.discovery.deadline import CallFailure
from anisespool.discovery.object_decoder import ObjectDecoder
from anisespool.errors import DiscoveryFault, DiscoveryRefused, DiscoveryUnreachable
from anisespool.errors.system import SystemFailure, classify, to_fault
from anisespool.log import log_error


class StreamUpdate(NamedTuple):
    """What newly received data has completed."""

    objects: list[dict[str, Any]]
    skipped: list[str]  # descriptions of lines that could not be parsed
    has_message: bool  # an object or an empty line (heartbeat) is complete; parts of an object do not count


class Stream:
    """Open from its creation until `close`, or until the connection ends or fails, which is logged. Times are
    in monotonic seconds."""

    def __init__(
        self, address: Address, since: int, on_update: Callable[[Stream, StreamUpdate], None],
        on_change: Callable[[], None], make_room: Callable[[], object],
    ) -> None:  # fmt: skip
        """`since`: the revision after which changes are requested. `on_update` is called when data of the
        response body has been read, `on_change` when the response head has been received or the stream has
        ended. `make_room` frees a descriptor."""
        self.address, self.since = address, since
        self.began_s = self.last_byte_s = time.monotonic()
        self.has_delivered = False  # whether a list or a change has been received
        self.head_received_s: float | None = None  # when a response head with status 200 was received
        self.failure = CallFailure.UNREACHABLE  # how the call has failed if the stream ends now
        self._on_update, self._on_change, self._make_room = on_update, on_change, make_room
        self._decoder, self._delivered_count = ObjectDecoder(), 0
        self._chunks: list[bytes] = []  # body data not decoded yet
        self._channel: Channel | None = None
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(lambda _: on_change())

    @property
    def address_text(self) -> str:
        """The address as text, for the log."""
        return "{}:{}".format(*self.address)

    @property
    def ended(self) -> bool:
        return self._task.done()

    def close(self) -> None:
        self._task.cancel()

    def read_pending(self) -> None:
        """Reads data that has arrived without waiting for the event loop."""
        if self._channel:
            self._channel.read_pending()

    async def _run(self) -> None:
        """Runs from the call to the end of the watch, and logs any error."""
        try:
            try:
                await self._read_all()
            except DiscoveryFault as error:
                log_error("discovery", error)
            except (OSError, UnicodeError) as error:  # UnicodeError: invalid host name
                self._log_unreachable(error)
            self._deliver(self._decoder.finish())
        except Exception:  # the task must not fail: without a watch, no more drains would be noticed
            traceback.print_exc()

    def _log_unreachable(self, error: OSError | UnicodeError) -> None:
        if isinstance(error, OSError) and classify(error) is SystemFailure.NO_RESOURCES:
            log_error("discovery", to_fault(error))
            self._make_room()
        else:
            log_error("discovery", DiscoveryUnreachable(f"{type(error).__name__}: {error}"))

    async def _read_all(self) -> None:
        parser, channel = http1.ResponseParser(lambda data: self._chunks.append(data)), None
        try:
            channel = self._channel = await open_channel(self.address, partial(self._feed, parser))
            target = b"/v1/servers?stream=1&index=%d" % self.since
            request = http1.Request(b"GET", target, {}, b"", True)
            channel.write(http1.encode_request(request, self.address_text.encode(), {}))
            await channel.ended()
        finally:
            self._channel = None
            if channel:
                channel.close()
            parser.close()

    def _feed(self, parser: http1.ResponseParser, data: bytes) -> None:
        """Raises DiscoveryFault if the stream has to end. All data before its end is delivered first, as a
        change and the last chunk may arrive in one read."""
        parser.feed(data)
        self.last_byte_s = time.monotonic()
        if parser.status:
            self.failure = CallFailure.REFUSED
        if parser.status == 200 and self.head_received_s is None:
            self.head_received_s = self.last_byte_s
            self._on_change()
        chunks, self._chunks = self._chunks, []
        if chunks and parser.status == 200:
            self._deliver(self._decoder.feed(b"".join(chunks)))
            self._decoder.check_size()
        if parser.broken or parser.response or parser.status not in (0, 200):
            raise DiscoveryRefused(f"the response was {parser.status or 'not HTTP'}")

    def _deliver(self, objects: list[dict[str, Any]]) -> None:
        delivered, self._delivered_count = self._delivered_count, self._decoder.message_count
        self._on_update(
            self, StreamUpdate(objects, self._decoder.take_skipped(), self._delivered_count > delivered)
        )
