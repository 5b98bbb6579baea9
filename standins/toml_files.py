"""Settings files in TOML."""

from msgspec.json import encode


def write_toml(settings):
    """Return settings as TOML.

    :param settings: dict of values, tables and lists of tables; a table holds
        values only.
    """
    lines = []
    tables = []
    for key, value in settings.items():
        if isinstance(value, dict):
            tables.append(f'[{key}]')
            tables += [
                f'{name} = {_to_toml_value(item)}'
                for name, item in value.items()
            ]
        elif isinstance(value, list):
            for row in value:
                tables.append(f'[[{key}]]')
                tables += [
                    f'{name} = {_to_toml_value(item)}'
                    for name, item in row.items()
                ]
        else:
            lines.append(f'{key} = {_to_toml_value(value)}')
    return '\n'.join(lines + tables) + '\n'


def _to_toml_value(value):
    """Return a value as TOML; dicts become inline tables."""
    if isinstance(value, dict):
        pairs = [
            f'{name} = {_to_toml_value(item)}' for name, item in value.items()
        ]
        return '{' + ', '.join(pairs) + '}'
    if isinstance(value, list):
        return '[' + ', '.join(map(_to_toml_value, value)) + ']'
    return encode(value).decode()
