"""Keeps OpenSSL out of this process; has to be imported before `asyncio` and `hashlib`.

The sidecar speaks plain TCP and uses no hash function that OpenSSL alone has. `asyncio` and `hashlib` import
OpenSSL where they find it, which takes 5 MB of each process's memory, and go without it where they don't.
"""

from __future__ import annotations

import sys

OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")

for _name in OPENSSL_MODULES:
    # None makes an import of the module fail; a module that is imported already stays in use.
    sys.modules.setdefault(_name, None)  # type: ignore[arg-type]
