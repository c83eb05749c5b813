"""Runs the daemon of a role on the users' platform."""

from guavadyke.platform.daemon import main

if __name__ == '__main__':
    main()
