"""`python -m brassfall`."""

from brassfall.cli import main

main()
