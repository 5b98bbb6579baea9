"""Tells a process that its answers could not be decoded, with the next call.

A notice is lost with its call.
"""

from collections import Counter

NOTICE_METADATA_KEY = 'answers-not-decoded'
COUNT_LIMIT = 1_000_000


class AnswerNotices:
    """Answers of other processes that this one could not decode."""

    def __init__(self):
        self._counts = {}

    def add(self, address, method):
        """Record an answer that was not decoded.

        :param address: address of the process that answered.
        :param method: the :class:`Method` called.
        """
        self._counts.setdefault(address, Counter())[method] += 1

    def take(self, address):
        """Return the number of answers by method, and forget them.

        :param address: address of the process that answered.
        """
        return self._counts.pop(address, {})


def write_notices(counts):
    """Return numbers of answers as metadata of a call.

    :param counts: number of answers by :class:`Method`.
    """
    return tuple(
        (NOTICE_METADATA_KEY, f'{method.value} {count}')
        for method, count in counts.items()
    )


def read_notices(metadata, methods):
    """Return the numbers of answers that the metadata of a call names.

    :param metadata: pairs of key and value.
    :param methods: the :class:`Method` enumeration.
    """
    known = {method.value: method for method in methods}
    counts = Counter()
    for key, value in metadata:
        name, _, count = str(value).partition(' ')
        if key != NOTICE_METADATA_KEY or name not in known:
            continue
        if count.isdecimal() and len(count) <= len(str(COUNT_LIMIT)):
            counts[known[name]] += min(int(count), COUNT_LIMIT)
    return counts
