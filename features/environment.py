"""Hooks of behave: each scenario releases its resources at its end."""

from contextlib import ExitStack
from pathlib import Path
import tempfile

from absl import logging

# Folders here are in memory.  Replicas that share one disk with the rest of
# the machine would all stall at once whenever other programs write to it.
MEMORY_FOLDER = Path('/dev/shm')


def before_all(context):
    """Keep the log of the product out of the report."""
    logging.set_verbosity(logging.FATAL)
    context.folders = ExitStack()
    if MEMORY_FOLDER.is_dir():
        folder = tempfile.TemporaryDirectory(dir=MEMORY_FOLDER)
        tempfile.tempdir = context.folders.enter_context(folder)


def before_scenario(context, scenario):
    """Open the stack on which steps register their clean-up."""
    context.resources = ExitStack()


def after_scenario(context, scenario):
    """Release the resources of the scenario, the last one first."""
    context.resources.close()


def after_all(context):
    """Remove the folders."""
    context.folders.close()
