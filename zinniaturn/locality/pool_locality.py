"""A VM's decisions of when a pool's requests leave its data centre."""

__all__ = ('PoolLocality',)

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from zinniaturn.locality.activation import Activation
from zinniaturn.locality.arrangement import own_in_mixed_round
from zinniaturn.locality.decision import (
    SearchStart,
    displacement_factor,
    failure_factor,
    slowness_factor,
    start_for,
    stay_ratio,
)
from zinniaturn.locality.place_news import PlaceNews
from zinniaturn.locality.weights import LocalityWeights

# A round of probes in the own data centre, before one was measured.
_ROUND_SECONDS = 0.0015
_ROUND_SMOOTHING = 0.1
_MS_PER_SECOND = 1000
# A way that is measured as shorter than this still counts as this long, as
# probes measure it to about a fifth of a millisecond.
_LEAST_WAY_SECONDS = 0.0002


@dataclass(slots=True)
class PoolLocality:
    """
    What a VM knows of a pool's data centres, and what follows for a request.

    ``places`` holds the news of each data centre and ``elsewhere`` those of all
    but the own one together, so that a decision costs the same with any number
    of servers and data centres. ``is_split`` is set while the pool has servers
    in the own data centre and in another one; otherwise there is nothing to
    decide. ``own_servers`` is their number in the own one, and
    ``round_seconds`` the usual time of a round of probes there.
    """

    data_center: str
    weights: LocalityWeights
    activation: Activation = field(default_factory=Activation)
    is_split: bool = False
    own_servers: int = 0
    places: dict[str, PlaceNews] = field(default_factory=dict)
    elsewhere: PlaceNews = field(default_factory=PlaceNews)
    round_seconds: float = _ROUND_SECONDS

    @property
    def is_active(self) -> bool:
        """Return whether there is anything to decide."""
        return self.is_split and self.activation.is_on

    @property
    def own(self) -> PlaceNews:
        """Return the news of the own data centre."""
        return self.place(self.data_center)

    def place(self, data_center: str) -> PlaceNews:
        """Return the news of a data centre."""
        return self.places.setdefault(data_center, PlaceNews())

    def set_servers(self, counts: Mapping[str, int]) -> None:
        """Set how many servers the pool has in each data centre."""
        self.own_servers = counts.get(self.data_center, 0)
        self.is_split = 0 < self.own_servers < sum(counts.values())
        for gone in self.places.keys() - counts.keys():
            self.places.pop(gone)

    def note_probe(self, data_center: str, had_room: bool, now: float) -> None:
        """Record whether a probed server can serve a request soon."""
        for news in self._news_of(data_center):
            news.note_probe(had_room, now)

    def note_round_trip(
        self, data_center: str, seconds: float, now: float
    ) -> None:
        """Record the time that a probe took."""
        for news in self._news_of(data_center):
            news.note_round_trip(seconds, now)

    def note_latency(
        self, data_center: str, seconds: float, expected: float, now: float
    ) -> None:
        """Record a response's time and the time that was expected of it."""
        # The expected time contains the factor that is to be measured.
        ratio = seconds / max(expected, 0.001)
        ratio *= self.slowness(data_center, now)
        for news in self._news_of(data_center):
            news.note_latency(ratio, now)

    def note_end(self, data_center: str, has_failed: bool, now: float) -> None:
        """Record whether an attempt at a data centre has failed."""
        for news in self._news_of(data_center):
            news.note_end(has_failed, now)

    def note_own_round(self, seconds: float) -> None:
        """Record the time that a round of probes to own servers took."""
        change = seconds - self.round_seconds
        self.round_seconds += change * _ROUND_SMOOTHING

    def way_seconds(self, data_center: str, now: float) -> float:
        """Return the round trip to a data centre beyond one in the own one."""
        if data_center == self.data_center:
            return 0
        return self._way_seconds(self.place(data_center), now)

    def price_seconds(
        self, data_center: str, megabytes: float, now: float
    ) -> float:
        """
        Return what a response from a data centre costs beyond its time.

        ``megabytes`` is its usual size.
        """
        if data_center == self.data_center:
            return 0
        news = self.place(data_center)
        way = self._way_seconds(news, now)
        return self._total_price(news, megabytes, now) - way

    def slowness(self, data_center: str, now: float) -> float:
        """Return by how much a data centre exceeds the expected latencies."""
        return slowness_factor(
            self.place(data_center).latency_ratio_at(now),
            self._compared(data_center).latency_ratio_at(now),
        )

    def failure_factor(self, data_center: str, now: float) -> float:
        """Return by how much a data centre's failures exceed the others'."""
        return failure_factor(
            self.place(data_center).failure_share_at(now),
            self._compared(data_center).failure_share_at(now),
        )

    def stay_ratio(self, probes: int, megabytes: float, now: float) -> float:
        """
        Return what beginning at home saves as a multiple of what it costs.

        ``probes`` are those of a round. The share of requests that begin at
        home is this ratio, up to all of them.
        """
        doubt = self.slowness(self.data_center, now)
        doubt *= self.failure_factor(self.data_center, now)
        return stay_ratio(
            self.own.room_at(now) / doubt**2,
            probes,
            own_in_mixed_round(probes),
            self._total_price(self.elsewhere, megabytes, now),
            self.round_seconds,
        )

    def start(
        self, probes: int, megabytes: float, now: float, draw: float
    ) -> SearchStart:
        """Return where a request begins; ``draw`` is random, from 0 to 1."""
        return start_for(self.stay_ratio(probes, megabytes, now), draw)

    def inputs(self, now: float) -> dict[str, Any]:
        """Return what the decisions rest on, for the log."""
        way = self._way_seconds(self.elsewhere, now)
        return {
            'own_servers': self.own_servers,
            'own_room': round(self.own.room_at(now), 2),
            'other_room': round(self.elsewhere.room_at(now), 2),
            'own_slowness': round(self.own.latency_ratio_at(now), 2),
            'other_slowness': round(self.elsewhere.latency_ratio_at(now), 2),
            'own_failures': round(self.own.failure_share_at(now), 2),
            'way_ms': round(way * _MS_PER_SECOND, 2),
            'round_ms': round(self.round_seconds * _MS_PER_SECOND, 2),
        }

    def _compared(self, data_center: str) -> PlaceNews:
        """Return the news of the other side."""
        if data_center == self.data_center:
            return self.elsewhere
        return self.own

    def _way_seconds(self, news: PlaceNews, now: float) -> float:
        """Return the measured round trip, or the one of the settings."""
        there = news.round_trip_seconds(now)
        here = self.own.round_trip_seconds(now)
        if there is None or here is None:
            return self.weights.way_seconds
        return max(_LEAST_WAY_SECONDS, there - here)

    def _total_price(
        self, news: PlaceNews, megabytes: float, now: float
    ) -> float:
        way = self._way_seconds(news, now) * self.weights.seconds_per_way_second
        price = way * displacement_factor(news.room_at(now))
        return price + megabytes * self.weights.seconds_per_megabyte

    def _news_of(self, data_center: str) -> tuple[PlaceNews, ...]:
        news = self.place(data_center)
        if data_center == self.data_center:
            return (news,)
        return news, self.elsewhere
