"""Adapter to the users' platform: its names, formats and calls.

This package only translates: it holds no decisions, and no module outside
uses the names of the platform.
"""
