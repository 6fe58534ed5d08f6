"""Model-based test of the driver, the balancer and the pool, with random events and a controlled clock.

One run of the test is called a day. `day` plays one day, and is the module that tests use. `servers` and
`clients` model what surrounds the program, `settings` draws its settings, `oracle` judges its behaviour by
the protocol alone, `chance` provides random numbers, and `event_loop` provides the time.
"""

from tests.support.random_day.day import Day, play

__all__ = ["Day", "play"]
