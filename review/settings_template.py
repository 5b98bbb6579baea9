"""Renders the deploy file's settings template as the platform does."""

import json
import re

TOKEN = re.compile(r'\{\{([#^/]?)([^{}]*)\}\}')


def render(text, fields):
    """Return the template filled in with the fields."""
    nodes, _ = _parse(TOKEN.split(text), 0, None)
    return _render(nodes, [fields], '', False)


def _parse(parts, at, closing):
    nodes = []
    while True:
        nodes.append(parts[at])
        if at + 1 >= len(parts):
            return nodes, at
        kind, name = parts[at + 1], parts[at + 2]
        at += 3
        if kind == '/':
            assert name == closing, (name, closing)
            return nodes, at
        if kind:
            body, at = _parse(parts, at, name)
            nodes.append((kind, name, body))
        else:
            nodes.append(('', name, None))


def _look_up(name, scopes):
    for scope in reversed(scopes):
        value = scope
        for key in name.split('.'):
            if isinstance(value, dict) and key in value:
                value = value[key]
            elif isinstance(value, list) and key.isdigit():
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _text(value):
    if value is None:
        return ''
    if isinstance(value, bool):
        return json.dumps(value)
    if isinstance(value, list):
        return ','.join(map(_text, value))
    return str(value)


def _render(nodes, scopes, key, is_last):
    out = []
    for node in nodes:
        if isinstance(node, str):
            out.append(node)
            continue
        kind, name, body = node
        if kind:
            out.append(_section(kind, name, body, scopes))
        elif name == '.':
            out.append(_text(scopes[-1]))
        elif name == '@':
            out.append(str(key))
        elif name == ',':
            out.append('' if is_last else ',')
        else:
            out.append(_text(_look_up(name, scopes)))
    return ''.join(out)


def _section(kind, name, body, scopes):
    value = _look_up(name, scopes)
    if kind == '^':
        return '' if value else _render(body, scopes, '', True)
    if not value and value != 0:
        return ''
    if isinstance(value, dict):
        pairs = list(value.items())
    elif isinstance(value, list):
        pairs = list(enumerate(value))
    else:
        return _render(body, scopes + [value], '', True)
    return ''.join(
        _render(body, scopes + [each], key, at == len(pairs) - 1)
        for at, (key, each) in enumerate(pairs)
    )
