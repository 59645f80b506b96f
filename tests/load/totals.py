"""The results of a group of simulated requests."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Totals:
    """The results of a group of requests."""

    attainable_value: float = 0.0
    achieved_value: float = 0.0
    in_time: int = 0
    late: int = 0
    unserved: int = 0

    @property
    def ratio(self) -> float:
        """The achieved share of the attainable value."""
        return (
            self.achieved_value / self.attainable_value
            if self.attainable_value
            else 1.0
        )

    @property
    def served_ratio(self) -> float:
        """The ratio of requests that were served, in time or late."""
        served = self.in_time + self.late
        return served / (served + self.unserved) if served else 0.0
