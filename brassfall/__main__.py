"""`python -m brassfall`."""

from brassfall.cli.main import main

main()
