"""Runs the daemon on the platform."""

from fuchsiacart.reload_signals import hold_reloads


def main():
    """Run the daemon with the settings that the environment names."""
    hold_reloads()
    # A signal may come while this is imported.
    from fuchsiacart.platform.program import run_program

    run_program()


if __name__ == '__main__':
    main()
