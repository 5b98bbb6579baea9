"""Formatting of documents as text."""

from datetime import datetime
from datetime import timezone

MILLISECONDS_PER_SECOND = 1000


def format_fields(document, indent=''):
    """Format a document as indented lines of keys and values.

    Keys whose value is None are omitted.

    :param document: the document as a dictionary.
    :param indent: whitespace to start each line with.
    """
    lines = []
    for key, value in document.items():
        if value is None:
            continue
        if isinstance(value, dict):
            lines.append(f'{indent}{key}:')
            lines.append(format_fields(value, indent + '  '))
        elif isinstance(value, list):
            lines.append(f'{indent}{key}:')
            lines += [f'{indent}  {_format_item(item)}' for item in value]
        else:
            lines.append(f'{indent}{key}: {value}')
    return '\n'.join(lines)


def format_explanation(document):
    """Format where a request would go as lines and a table of servers.

    :param document: the explanation as a dictionary.
    """
    candidates = document.pop('candidates')
    table = format_table(
        ('server', 'region', 'domain', 'load', 'verdict'),
        [
            (
                each['server'],
                each['region'],
                each['failure_domain'],
                each['load'],
                each['verdict'],
            )
            for each in candidates
        ],
    )
    return f'{format_fields(document)}\n{table}'


def format_table(headings, rows):
    """Format rows as left-aligned columns.

    :param headings: one for each column.
    :param rows: lists with one value for each column.
    """
    cells = [list(map(str, row)) for row in [headings, *rows]]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return '\n'.join(
        '  '.join(map(str.ljust, row, widths)).rstrip() for row in cells
    )


def format_time(at_ms):
    """Format Unix milliseconds in UTC as ISO 8601, or 0 as a dash."""
    if not at_ms:
        return '-'
    at = datetime.fromtimestamp(at_ms / MILLISECONDS_PER_SECOND, timezone.utc)
    return at.isoformat(timespec='milliseconds')


def format_audit(entries):
    """Format audit entries as a table."""
    rows = [
        [
            format_time(entry['accepted_ms']),
            entry['actor'],
            entry['what'],
            entry['subject'],
            f'{entry["from_version"]}->{entry["to_version"]}',
            entry['outcome'].get('error') or 'accepted',
            format_time(entry['in_force_ms']),
            entry['change_id'],
        ]
        for entry in entries
    ]
    headings = (
        'accepted',
        'actor',
        'what',
        'subject',
        'version',
        'outcome',
        'in force everywhere',
        'change',
    )
    return format_table(headings, rows)


def format_drains(drains):
    """Format drains and their progress as a table."""
    rows = [
        [
            drain['scope'],
            drain['name'],
            format_time(drain['started_ms']),
            f'{drain["informed"]}/{drain["hosts"]}',
            drain['in_flight'],
            f'{drain["drained_ms"]} ms' if drain['drained_ms'] else 'going on',
        ]
        for drain in drains
    ]
    headings = ('scope', 'name', 'started', 'informed', 'in flight', 'drained')
    return format_table(headings, rows)


def format_status(status):
    """Format the status of the system as tables."""
    regions = format_table(
        ('region', 'entry hosts', 'slots', 'busy', 'queued', 'headroom'),
        [
            [
                region['region'],
                region['entry_hosts'],
                region['slots'],
                region['busy'],
                region['queued'],
                max(0, region['slots'] - region['busy'] - region['queued']),
            ]
            for region in status['regions']
        ],
    )
    hosts = format_table(
        ('entry host', 'region', 'state', 'revision', 'lease', 'in flight'),
        [
            [
                host['name'],
                host['region'],
                host['state'],
                host['revision'],
                f'{host["lease_left_ms"]} ms',
                host['in_flight'],
            ]
            for host in status['hosts']
        ],
    )
    weights = format_table(
        ('home', 'target', 'permille'),
        [
            [row['home'], row['target'], row['permille']]
            for row in status['weights']
        ],
    )
    control_hosts = format_control_hosts(status['control_hosts'])
    revisions = [host['revision'] for host in status['hosts']]
    spread = f'{min(revisions)} to {max(revisions)}' if revisions else '-'
    summary = (
        f'leader {status["leader"]} in term {status["term"]}\n'
        f'revision {status["revision"]}, in force everywhere'
        f' {status["in_force_revision"]}, on hosts {spread}\n'
        f'contracts {status["contracts"]}, claims {status["claims"]}'
    )
    drains = format_drains(status['drains'])
    tables = summary, control_hosts, regions, hosts, weights, drains
    return '\n\n'.join(tables)


def format_control_hosts(rows):
    """Format what each control host reports of itself as a table.

    Earlier builds name neither build nor format.
    """
    return format_table(
        ('control host', 'replica', 'term', 'commit', 'build', 'format'),
        [
            [
                row['host'],
                row.get('replica', 'not reached'),
                row.get('term', '-'),
                row.get('commit_index', '-'),
                row.get('build', '-'),
                row.get('format', '-'),
            ]
            for row in rows
        ],
    )


def _format_item(item):
    if not isinstance(item, dict):
        return str(item)
    return ' '.join(f'{key}={value}' for key, value in item.items())
