"""The control group: its replicated state and the leader's decisions."""
