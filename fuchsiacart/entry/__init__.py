"""Entry hosts: serve callers by contract on the servers they own."""
