"""Seeded faults and the features that must fail with them."""

from sys import executable

from msgspec import Struct


class Edit(Struct, frozen=True):
    """A replacement of text in one product file."""

    file: str
    old: str
    new: str


class Fault(Struct, frozen=True):
    """A fault and the feature that must fail with it.

    ``file``, ``old`` and ``new`` are the first edit, ``more`` the others.
    With ``soak_seeds`` a soak of these seeds is run instead of the feature.
    """

    title: str
    file: str
    old: str
    new: str
    feature: str
    more: tuple[Edit, ...] = ()
    soak_seeds: tuple[str, ...] = ()

    @property
    def edits(self):
        """All edits that make up the fault."""
        return (Edit(self.file, self.old, self.new), *self.more)

    @property
    def command(self):
        """The command that must fail with the fault."""
        if self.soak_seeds:
            return (executable, '-m', 'soak', *self.soak_seeds)
        feature = f'features/{self.feature}.feature'
        return (executable, '-m', 'behave', feature, '--stop')
