"""Hooks of behave: every scenario frees what it has started."""

from contextlib import ExitStack

from absl import logging


def before_all(context):
    """Keep the logs of the classes under test out of the report."""
    logging.set_verbosity(logging.FATAL)


def before_scenario(context, scenario):
    """Give the scenario a place for what it has to free."""
    context.resources = ExitStack()


def after_scenario(context, scenario):
    """Free what the scenario has started."""
    context.resources.close()
