"""Ends processes that use more memory than their machine has."""

from asyncio import sleep
from pathlib import Path
from signal import SIGKILL

POLL_S = 0.02
RESTART_S = 0.5


def resident_mb(process):
    """Return the anonymous memory of a process in MiB.

    Pages of files, such as libraries, are not counted.
    """
    try:
        text = Path(f'/proc/{process.pid}/status').read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) / 1024
    return 0.0


class MemoryLimit:
    """Does with some nodes what the platform does, ``memory_mb`` given.

    ``ends`` counts how often each node was ended or ended by itself.
    """

    def __init__(self, deployment, nodes, memory_mb):
        self._deployment = deployment
        self._memory_mb = memory_mb
        self._restarts_s = {}
        self.ends = dict.fromkeys(nodes, 0)
        self.peaks = dict.fromkeys(nodes, 0.0)

    @property
    def total(self):
        """Number of ends of all nodes."""
        return sum(self.ends.values())

    def is_broken(self, ends):
        """Return True if on half of the nodes it has ended so often."""
        often = sum(each >= ends for each in self.ends.values())
        return often * 2 >= len(self.ends)

    def used(self):
        """Return the memory in use by node, for a record."""
        processes = self._deployment.processes
        return {
            f'mb_{ip}': f'{resident_mb(processes[ip]):.0f}' for ip in self.ends
        }

    def counts(self):
        """Return the number of ends by node, for a record."""
        return {f'ends_{ip}': each for ip, each in self.ends.items()}

    async def run(self):
        """Watch until cancelled."""
        while True:
            await sleep(POLL_S)
            for ip in self.ends:
                self._check(ip)

    def _check(self, ip):
        deployment = self._deployment
        now_s = deployment.record.now_s()
        if ip in self._restarts_s:
            if now_s >= self._restarts_s[ip]:
                del self._restarts_s[ip]
                deployment.start(ip)
            return
        process = deployment.processes[ip]
        used_mb = resident_mb(process)
        self.peaks[ip] = max(self.peaks[ip], used_mb)
        if used_mb <= self._memory_mb and process.poll() is None:
            return
        deployment.record.write(
            'ended', node=ip, used_mb=f'{used_mb:.0f}', code=process.poll()
        )
        self.ends[ip] += 1
        process.send_signal(SIGKILL)
        process.wait()
        self._restarts_s[ip] = now_s + RESTART_S
