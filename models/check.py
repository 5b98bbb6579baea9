"""Runs the model checker."""
