"""Hooks of behave: each scenario releases its resources at its end."""

from contextlib import ExitStack

from absl import logging


def before_all(context):
    """Keep the log of the product out of the report."""
    logging.set_verbosity(logging.FATAL)


def before_scenario(context, scenario):
    """Open the stack on which steps register their clean-up."""
    context.resources = ExitStack()


def after_scenario(context, scenario):
    """Release the resources of the scenario, the last one first."""
    context.resources.close()
