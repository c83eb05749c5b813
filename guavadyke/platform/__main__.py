"""Command line entry point on the users' platform: the daemon and its tools."""

import importlib
import signal

if __name__ == '__main__':
    # A signal to read the settings again would end a host whose modules are
    # still being imported. It reads the settings after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module('guavadyke.platform.command_line').run_command()
