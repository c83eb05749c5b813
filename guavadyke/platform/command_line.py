"""The commands on the users' platform."""

import sys

from guavadyke.platform.check_command import check_configuration
from guavadyke.platform.daemon import main


def run_command() -> None:
    """Run the tool that the first argument names, else the daemon.

    The daemon takes any other first argument for its role.
    """
    if sys.argv[1:2] == [check_configuration.name]:
        check_configuration(
            sys.argv[2:],
            prog_name=f'python -m guavadyke.platform {sys.argv[1]}',
        )
    else:
        main()
