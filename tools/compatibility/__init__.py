"""Checks that two builds read what the other one writes."""

from tools.compatibility.builds import lay_out_build
from tools.compatibility.builds import production_commit
from tools.compatibility.builds import run_samples

__all__ = ['lay_out_build', 'production_commit', 'run_samples']
