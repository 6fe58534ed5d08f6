"""Random settings of the program, and reloads that change them."""

from __future__ import annotations

from brassfall.sidecar import config, reload

SEMANTICS = ("pure", "token", "side_effect")


def draw_settings(rng):
    """Return random settings in the format of the configuration file."""
    rows = []
    for name in rng.sample("abcdefgh", rng.randrange(2, 6)):
        deadline = rng.choice([120.0, 300.0, 600.0])
        semantics, group = rng.choice(SEMANTICS), rng.choice(["all", "cell", "zone"])
        objective, window = deadline / rng.choice([1.0, 2.0]), rng.choice([30.0, 60.0, 300.0])
        late_weight, weight = rng.choice([0.0, 0.5]), rng.choice([1.0, 10.0])
        rows.append(
            {
                "Name": name, "Semantics": semantics, "Group": group, "KeyTtl": window,
                "Objective": objective, "Deadline": deadline, "LateWorth": late_weight, "Worth": weight,
                "InTurn": rng.random() < 0.15,
            }
        )  # fmt: skip
    limits = {
        "MaxAttempts": rng.randrange(1, 5), "MayCancel": rng.random() < 0.5,
        "MaxOpen": rng.choice([4, 40]), "ParallelTries": rng.random() < 0.3,
        "ConnectTimeout": rng.choice([30.0, 100.0, 250.0]),
        "IdleClose": rng.choice([100.0, 1000.0]), "RetryAfter": True, "MaxRetryAfter": 100.0,
    }  # fmt: skip
    return {
        "Profiles": rows, "PolicyLimits": limits, "FailureDomains": ["east", "west"],
        "Kinds": ["big"], "Discovery": "subscribe", "Me": 0, "Balancers": 2,
        "Rules": {
            "StopSendingWithin": rng.choice([0.0, 100.0, 300.0]), "AskWithin": 2000.0,
            "ReleaseWithin": rng.choice([0.0, 100.0]), "SettleAfterDoubt": rng.choice([0.0, 40.0]),
            "WarmUp": rng.choice([0.0, 1000.0]), "ColdFrom": 0.2, "OverloadFor": 500.0,
        },
        "Report": {"How": "inline", "Fields": ["inflight"]},
        "Prices": {"CrossZone": rng.choice([0.0, 0.2]), "Connection": rng.choice([0.0, 0.1])},
        "Domain": {"WarmKeys": rng.random() < 0.2}, "OverShareWorth": rng.choice([0.1, 1.0]),
        "Tenants": [{"Name": "one", "AllowancePerS": 5.0}, {"Name": "two", "AllowancePerS": 9.0}],
    }  # fmt: skip


class SettingsHistory:
    """Current settings, and earlier settings whose request classes clients may still name.

    `distort` changes the settings that the program gets, and not those by which the oracle judges it.
    """

    def __init__(self, chance, distort):
        self._chance = chance
        self._distort = distort
        self.raw = draw_settings(chance.rng)
        self.config = self._parse(self.raw)
        self._history = [(self.config.names, self.raw)]  # names and settings, newest first

    @property
    def limits(self):
        return self.raw["PolicyLimits"]

    @property
    def grace_ms(self):
        """Time after the notice that a server drains in which attempts may still begin there, in ms."""
        return self.raw["Rules"]["StopSendingWithin"]

    def _parse(self, raw):
        return config.parse(
            {
                "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
                "limits": {"memory_mb": 64, "sockets": self._chance.sockets},
                "known": {"index": 1, "endpoints": []}, "settings": self._distort(raw),
            },
            {},
        )  # fmt: skip

    def reload(self, classes_in_use):
        """Draw new settings; return the new configuration and the classes that it leaves unchanged."""
        raw = draw_settings(self._chance.rng)
        slots = {request_class.slot for names, _ in self._history for request_class in names.classes.values()}
        plan = reload.plan_reload(self.config, self._parse(raw), classes_in_use | slots)
        self.raw, self.config = raw, plan.config
        self._history.insert(0, (plan.config.names, raw))
        return plan

    def draw_class(self):
        """Return a random request class and its row in the settings.

        The class may be one of earlier settings. Its row is then the newest that its slot has had.
        """
        rng = self._chance.rng
        names, raw = rng.choice(self._history) if rng.random() < 0.3 else self._history[0]
        request_class = names.classes[rng.choice(raw["Profiles"])["Name"]]
        name = next(name for name, other in names.classes.items() if other is request_class)
        newest = next(raw for names, raw in self._history if names.classes.get(name) == request_class)
        return request_class, next(row for row in newest["Profiles"] if row["Name"] == name)
