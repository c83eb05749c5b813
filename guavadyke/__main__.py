"""Run the command line as ``python -m guavadyke``."""

from guavadyke.cli import main

if __name__ == '__main__':
    main()
