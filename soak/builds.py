"""Which build each start of a process runs, while hosts are replaced."""

from tools.compatibility import lay_out_build

# Of a start that goes back to the earlier build.
BACK_PROBABILITY = 0.25


class BuildPlan:
    """Lets processes start with an earlier build, and change on a restart.

    :param commit: commit of the earlier build, '' to run this tree only.
    :param random: random number generator of its own.
    """

    def __init__(self, commit, random):
        self._commit = commit
        self._folder = lay_out_build(commit) if commit else None
        self._random = random
        self._started = set()
        self.starts = {}

    def environment(self, name):
        """Return environment variables that select a build.

        :param name: name of the process that is started.
        """
        if not self._commit:
            return {}
        is_first = name not in self._started
        self._started.add(name)
        is_back = self._random.random() < BACK_PROBABILITY
        build = self._commit if is_first or is_back else 'this tree'
        self.starts[build] = self.starts.get(build, 0) + 1
        if build != self._commit:
            return {}
        return {'PYTHONPATH': str(self._folder), 'PYTHONSAFEPATH': '1'}
