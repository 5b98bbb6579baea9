"""Writes docs/user/settings.md from the settings classes."""

from pathlib import Path

from pydantic_core import PydanticUndefined

from fuchsiacart.settings import Section
from fuchsiacart.settings import Settings

SETTINGS_PAGE = Path(__file__).parent.parent / 'docs' / 'user' / 'settings.md'
PAGE_HEADER = '''# Settings

One TOML file for each process. It is checked whole at the start: every fault
is listed with its key, the exit code is 2 and nothing is started. This page
is made from the settings classes by `python -m tools.settings_reference`.

Times end in `_ms` (milliseconds). `lease_ms`, `keep_alive_ms`,
`lookup_ttl_ms` and `claim_groups` must be the same in all files: control
hosts read `lease_ms` too.
'''


def render_rows(section):
    """Yield a table row for each key of a settings section."""
    for name, field in section.model_fields.items():
        default = '*required*'
        if field.default is not PydanticUndefined:
            value = getattr(field.default, 'value', field.default)
            default = f'`{value!r}`'
        yield f'| `{name}` | {default} | {field.description or ""} |'


def render_reference():
    """Return the text of the settings page."""
    lines = [PAGE_HEADER]
    for name, field in Settings.model_fields.items():
        section_type = field.annotation
        if not (
            isinstance(section_type, type)
            and issubclass(section_type, Section)
        ):
            continue
        lines += ['', f'## [{name}]', '']
        lines += ['| key | default | meaning |', '| --- | --- | --- |']
        lines += render_rows(section_type)
    lines += ['', '## Keys without a table', '']
    lines += ['| key | default | meaning |', '| --- | --- | --- |']
    for row in render_rows(Settings):
        if any(f'`{key}`' in row for key in ('role', 'seed', 'control_hosts')):
            lines.append(row)
    lines += [
        '',
        'Each `[[control_hosts]]` has `name` and `peer_address` (`IP:port`).',
        'Each entry of `claim_groups` has `home`, a region, and `hosts`, a',
        'list of the same form; see [operators](operators.md).',
        '',
    ]
    return '\n'.join(lines)


def main():
    """Write the settings page."""
    SETTINGS_PAGE.write_text(render_reference())


if __name__ == '__main__':
    main()
