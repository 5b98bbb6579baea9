"""Gateways: forward requests by route to self-registered servers."""
