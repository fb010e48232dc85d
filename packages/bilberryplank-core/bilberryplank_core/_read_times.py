"""How long reads of a table may wait, so that silent connections are noticed in time.

Motivating load: all open connections to the store fall silent at once, each right after a read
began on it, while an operator withdraws a key.
"""

from __future__ import annotations

from dataclasses import dataclass

PATIENCE_SECONDS = 0.4
"""A read whose answer is this late is repeated over a new connection."""

MAX_PATIENCE_SECONDS = 0.7
"""Up to this the patience grows where the store is slow, so that few reads are made twice."""

ANSWER_SECONDS = 0.2
"""Time in which a new connection stands, its answer comes and the change takes effect."""

USED_SHARE = 0.8
"""Share of the contact limit that may pass until then; the rest is for hosts short of processor
time."""

SILENCE_SHARE = 0.8
"""Share of the change limit after which an entry without notices reads for itself."""

LEAST_WAIT_SECONDS = 0.1


@dataclass(slots=True, frozen=True)
class ReadTimes:
    """Times of the reads of one table, in seconds.

    Attributes:
        wait: Longest that a read waits for a change.
        silence: An entry for which others read does so itself after this long without a notice.
    """

    wait: float
    silence: float

    @classmethod
    def from_limits(cls, wait: float, change_limit: float, contact_limit: float) -> ReadTimes:
        """Returns the times that keep both limits.

        Args:
            wait: Longest wait that is wanted.
            change_limit: Seconds after which a change must be known here.
            contact_limit: Seconds after which an entry that was cut off must know the table again.
        """
        room = USED_SHARE * contact_limit - MAX_PATIENCE_SECONDS - ANSWER_SECONDS
        room = max(LEAST_WAIT_SECONDS, room)
        return cls(min(wait, room), min(SILENCE_SHARE * change_limit, room))
