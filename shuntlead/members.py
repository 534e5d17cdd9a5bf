"""The list and its standing: which endpoints there are, and which of them may be sent to.

It owns the Endpoint records and the verdicts that eject, and tells peers those."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from operator import attrgetter

from shuntlead import interface as api
from shuntlead.context import Desk
from shuntlead.estimates import Estimates
from shuntlead.interface import EndpointState, RosterForm, Status
from shuntlead.outliers import MOST_EJECTED, Verdicts
from shuntlead.records import Endpoint
from shuntlead.shedding import Shedding

SUSPECT = 4.0  # usual response times that a server is taken to need by one peer's verdict
VERDICT_REPEATS, VERDICT_REPEAT_NS = 5, 90_000_000  # a verdict is told so often, as datagrams get lost
VERDICT_AGAIN_NS = 1_000_000_000  # and then while it stands
ORDER, WEIGHT = attrgetter("order"), attrgetter("weight")


class Members:
    def __init__(self, desk: Desk, estimates: Estimates, shedding: Shedding) -> None:
        self._desk, self._estimates, self._shedding = desk, estimates, shedding
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # those of the endpoints that may be sent to, in their order
        self._weight = 0.0  # of these in all
        self._settle_at = 0  # when next one may be back by itself
        self.verdicts = Verdicts(desk.settings.fleet_size)
        self._telling_at = 0  # when verdicts are to be told next
        self.on_ejected: Callable[[], None] = lambda: None

    def on_roster(self, roster: api.Roster) -> None:
        """A list or a change of one; no failed call. Requests wait meanwhile, so it goes by row."""
        if roster.form is not RosterForm.DELTA:
            listed = {row.endpoint for row in roster.entries}
            self.endpoints = {n: e for n, e in self.endpoints.items() if n in listed}
            self.verdicts.keep(listed)
        by_row = roster.form is RosterForm.DELTA and not self._settle_at
        for row in roster.entries:
            known = self.endpoints.pop(row.endpoint, None)
            if by_row and known and known.ready:
                del self.ready[bisect_left(self.ready, known.order, key=ORDER)]
                self._weight -= known.weight
            same = known if known and known.row.started_ns == row.started_ns else None
            if same is None:  # the same id with a new start is a new process: what was learned is void
                self.verdicts.reset(row.endpoint)
            if row.state != EndpointState.GONE:
                e = self.endpoints[row.endpoint] = same or Endpoint(row, self._desk)
                e.update(row)
                if by_row and e.ready and not self._is_ejected(e):
                    insort(self.ready, e, key=ORDER)
                    self._weight += e.weight
        self.settle(by_row)

    def usable(self) -> list[Endpoint]:
        """Those that may be sent to at this moment."""
        if 0 < self._settle_at <= self._desk.now:
            self.settle()
        return self.ready

    def settle(self, by_row: bool = False) -> None:
        """Which may be sent to, by the list and verdicts; `by_row`: each has its place already."""
        now, verdicts = self._desk.now, self.verdicts
        if not by_row:
            up = [e for e in self.endpoints.values() if e.ready]
            self.ready = sorted((e for e in up if not self._is_ejected(e)), key=ORDER)
            self._weight = sum(map(WEIGHT, self.ready))
        self._estimates.mean_weight = self._weight / len(self.ready) if self.ready else 1.0
        self._settle_at = verdicts.next_return(now)

    def _is_ejected(self, e: Endpoint) -> bool:
        """One that all sidecars shunned may have restarted unseen. It comes back cold."""
        was, e.ejected = e.ejected, self.verdicts.is_out(self._desk.now, e.id)
        if was and not e.ejected:
            e.cold_from, e.warm_at = self._desk.now, self._desk.now + self._desk.settings.cold_ns
            e.slow_at, e.by_class = 0, {}
        return e.ejected

    # Ejection -------------------------------------------------------------------------------------

    def observe(self, endpoint: int, status: Status) -> None:
        """How an attempt ended: one that fails more than the others gets nothing new for a while."""
        if self._desk.settings.ejection and self.verdicts.observe(self._desk.now, endpoint, status):
            self.eject(endpoint, status, 0, "here")

    def eject(self, endpoint: int, reason: Status, left_ns: int, by: str, own: bool = True) -> None:
        """Nothing new there for a while, unless too many are out; then it is back, cold. Without one
        that fails now and then the others may fall behind, and lose more than it does."""
        now, e = self._desk.now, self.endpoints.get(endpoint)
        up, out = sum(e.ready for e in self.endpoints.values()), self.verdicts.count(now) + 1
        if e is None or not e.ready or out > MOST_EJECTED * up or not self._shedding.can_spare(out / up):
            return
        until = self.verdicts.eject(now, endpoint, reason, left_ns, own)
        for_s = f"endpoint {endpoint} for {(until - now) / 1e9:.1f} s"
        self._desk.log("ejected", f"{for_s}, {reason.name} {by}; {self.verdicts.count(now)} of {up} out")
        self.settle()
        self.on_ejected()
        if own:  # Recalled ones too, or a peer that missed the answer to its question never hears
            self.tell_verdicts(VERDICT_REPEATS)

    def tell_verdicts(self, quickly: int) -> None:
        """To all, some times in a row, as datagrams get lost; then now and then while a verdict stands, for
        those that were cut off."""
        rows = self.verdicts.own(self._desk.now)
        if not self._desk.settings.may_message or not rows:
            self._telling_at = 0
            return
        self._desk.act(api.TellVerdicts(-1, rows))
        wait_ns = VERDICT_REPEAT_NS if quickly > 1 else VERDICT_AGAIN_NS
        self._telling_at = self._desk.now + wait_ns
        self._desk.set_timer("verdicts", wait_ns, max(0, quickly - 1))

    def on_timer(self, quickly: int) -> None:
        if self._desk.now >= self._telling_at > 0:  # else others are under way
            self.tell_verdicts(quickly)

    def hear_verdicts(self, event: api.PeerVerdicts) -> None:
        now = self._desk.now
        for v in event.verdicts:
            e = self.endpoints.get(v.endpoint)
            if e is None or not self._desk.settings.ejection:
                continue
            # Fewer odds by one peer's word. A peer that says it of all changes nothing between them.
            e.slow, e.slow_at = max(self._estimates.slowdown(e), SUSPECT), now
            if self.verdicts.hear(now, event.sender, v):
                left = self.verdicts.quorum_ns(now, v.endpoint)
                self.eject(v.endpoint, v.reason, left, f"by {self.verdicts.quorum} peers", own=False)

    def recall(self, verdicts: tuple[api.Verdict, ...]) -> None:
        """Of an earlier process."""
        for endpoint, left_ns, reason in verdicts if self._desk.settings.ejection else ():
            self.eject(endpoint, reason, left_ns, "before the restart")
