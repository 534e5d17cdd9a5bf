"""One connection of the application, and the bounds on how long it may keep its place."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from math import inf
from time import monotonic

from anisespool import http1
from anisespool.front.http_connection import Conversation
from anisespool.front.server_interface import Place
from anisespool.front.shutdown import Stage


class ClientConnection(Conversation):
    """A conversation that ends where its client takes too long, or where its descriptor is wanted."""

    def __init__(self, server: Place) -> None:
        super().__init__(server)
        self._place = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._place.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._place.connections.discard(self)
        super().connection_lost(exc)

    @property
    def stage(self) -> Stage:
        if self._outlet.at_length and not self._closing:
            return Stage.ANSWERING_AT_LENGTH
        if self._closing:
            return Stage.CLOSING
        if self._uploading:
            return Stage.UPLOADING
        if self.owed:
            return Stage.BUSY
        if self._parser.partial:
            return Stage.HALF_WRITTEN
        return Stage.BETWEEN_REQUESTS if self._served else Stage.SILENT

    def close_if_idle(self) -> None:
        if self.idle and self._transport and not self.has_unread():
            self._closing = True
            self._transport.close()

    @property
    def may_go(self) -> bool:
        """Nothing is owed on it but a request that it has yet to bring, or an answer that nobody reads; and
        no request is being read."""
        now = monotonic()
        reads = self._outlet.unsent and self._waits.reads(now)
        is_coming = self._parser.partial and not self._closing and self._waits.is_reading(now)
        return not (self._busy or self._queue or reads or is_coming)

    def quiet(self, now: float) -> float:
        """For how long it has kept us waiting, as Waits.quiet has it."""
        gone = self._closing or self._outlet.unread
        return inf if gone else self._waits.quiet(now, self._parser.partial, self._served)

    def make_room(self) -> bool:
        """Its descriptor is wanted now: there is no time to wait for the client's end. Whether it goes: not
        where a request has just come."""
        if not self._transport or not self._closing and self.has_unread():
            return False
        self._place.connections.discard(self)  # or it would be chosen again before it has gone
        if self._parser.partial and not self._closing:
            self._transport.write(http1.encode_response(HTTPStatus.REQUEST_TIMEOUT, close=True))
            self._closing = True
            self._transport.close()
        elif self._closing or self._outlet.unread:
            self._closing = True
            self._transport.abort()
        else:
            self.close_if_idle()
        return True

    def end_wait(self) -> None:
        """It has had its time for a request, or the rest of one."""
        if self._uploading:
            self._end_upload(HTTPStatus.REQUEST_TIMEOUT)
        elif self._parser.partial:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()

    def end_stage(self, stage: Stage) -> None:
        """A shutdown leaves no more time for this stage. Requests that were read are answered by now, so what
        is unsent has a client that does not read."""
        if stage is Stage.ANSWERING_AT_LENGTH:
            self._outlet.reset()
        elif stage in (Stage.BUSY, Stage.CLOSING):
            self._closing = True
            if self._transport:
                self._transport.abort()
        else:
            self.end_wait()

    def end_if_late(self, now: float) -> None:
        """The client has had its time to send, or to read."""
        if not self._transport or self._transport.is_closing() and not self._waits.left:
            return
        self._waits.look(self._outlet.unsent, now)
        if self._waits.is_stalled(now):
            self._closing = True
            self._transport.abort()
        elif self._uploading:
            if self._waits.is_body_late(now):
                self._end_upload(HTTPStatus.REQUEST_TIMEOUT)
        elif self._waits.is_late(now) and not (self._waits.left or self._busy or self._closing):
            if not self._parser.in_body or self._waits.is_body_late(now):
                self.end_wait()
