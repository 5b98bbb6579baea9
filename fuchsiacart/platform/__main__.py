"""Runs the daemon on the platform."""

import gc

from fuchsiacart.reload_signals import hold_reloads


def main():
    """Run the daemon with the settings that the environment names."""
    hold_reloads()
    # Collections during the imports find nothing; the daemon enables them.
    gc.disable()
    # A signal may come while this is imported.
    from fuchsiacart.platform.program import run_program

    run_program()


if __name__ == '__main__':
    main()
