"""Command line entry point of the daemon on the users' platform."""

from guavadyke.platform.daemon import main

if __name__ == '__main__':
    main()
