"""Decides whether a VM takes data centres into account at all."""

__all__ = ('Activation', 'ActivationReason', 'LocalityMode')

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

# Round trips beyond one inside. Known deployments have 0.8 to 2.6 ms, where
# staying brings less than it costs, and 7.6 ms.
_FAR_SECONDS = 0.004
_NEAR_SECONDS = 0.0033


class LocalityMode(Enum):
    """What the gateway's own setting says."""

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


class ActivationReason(Enum):
    """
    Why data centres are taken into account, or why they are not.

    ``EVACUATIONS``: the fleet evacuates data centres, so it treats them as
    separate places. ``FAR`` and ``NEAR`` are by the measured distances, and
    ``NOT_MEASURED`` is off until there are any.
    """

    SETTING = 'setting'
    EVACUATIONS = 'evacuations'
    FAR = 'far'
    NEAR = 'near'
    NOT_MEASURED = 'not_measured'


_REASONS_TO_BE_ON = frozenset(
    (ActivationReason.EVACUATIONS, ActivationReason.FAR)
)


@dataclass(slots=True)
class Activation:
    """
    Whether data centres are taken into account, and why.

    ``is_far`` is what the distances said last, ``None`` before the first. It
    changes only outside of 3.3 to 4 ms, and stays while none is known.

    >>> activation = Activation()
    >>> activation.is_on, activation.reason.value
    (False, 'not_measured')
    >>> activation.review([0.001, 0.0076])
    >>> activation.is_on, activation.reason.value
    (True, 'far')
    >>> activation.review([0.0035])
    >>> activation.is_on
    True
    >>> activation.review([0.0026])
    >>> activation.is_on, activation.reason.value
    (False, 'near')
    """

    mode: LocalityMode = LocalityMode.AUTO
    follows_evacuations: bool = False
    is_far: bool | None = None
    is_on: bool = field(init=False)
    reason: ActivationReason = field(init=False)

    def __post_init__(self) -> None:
        """Decide by the settings."""
        self._decide()

    def set_rules(self, mode: LocalityMode, follows_evacuations: bool) -> None:
        """Apply changed settings."""
        self.mode = mode
        self.follows_evacuations = follows_evacuations
        self._decide()

    def review(self, beyond_own: Iterable[float]) -> None:
        """
        Decide anew by the distances to the other data centres.

        They are round trips in seconds beyond one inside.
        """
        farthest = max(beyond_own, default=None)
        if farthest is not None:
            limit = _NEAR_SECONDS if self.is_far else _FAR_SECONDS
            self.is_far = farthest >= limit
        self._decide()

    def _decide(self) -> None:
        if self.mode is LocalityMode.AUTO:
            self.reason = self._automatic_reason()
            self.is_on = self.reason in _REASONS_TO_BE_ON
        else:
            self.reason = ActivationReason.SETTING
            self.is_on = self.mode is LocalityMode.ON

    def _automatic_reason(self) -> ActivationReason:
        if self.follows_evacuations:
            return ActivationReason.EVACUATIONS
        if self.is_far is None:
            return ActivationReason.NOT_MEASURED
        return ActivationReason.FAR if self.is_far else ActivationReason.NEAR
