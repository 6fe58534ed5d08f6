"""A property test with a model: random days for the driver, the balancer and the pool on a controlled clock.

`day` plays one day and is what tests use. `servers` and `clients` are the models around the program,
`settings` draws what it is configured with, `oracle` judges by the protocol alone, `chance` has the random
numbers and `event_loop` the time.
"""

from tests.support.random_day.day import Day, play

__all__ = ["Day", "play"]
