"""Logs: one line of key=value pairs for each event."""

from json import dumps
from logging import Formatter
from sys import stdout

from absl.flags import FLAGS
from absl import logging

LINE_FORMAT = 'time=%(created).3f level=%(levelname)s %(message)s'


def start_logging():
    """Write the log to standard output, from level info on."""
    FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stdout
    handler.setFormatter(Formatter(LINE_FORMAT))


def _value(value):
    text = str(value)
    if text and all(char.isalnum() or char in '._-:/+' for char in text):
        return text
    return dumps(text)


def format_event(event, **fields):
    """Return the line for an event.

    :param event: name of the event, a plain word.
    :param fields: what to say about it.
    :return: one line of key=value pairs.
    """
    pairs = [f'event={event}']
    pairs += [f'{key}={_value(value)}' for key, value in fields.items()]
    return ' '.join(pairs)


def log_event(event, **fields):
    """Write an event to the log at level info."""
    logging.info('%s', format_event(event, **fields))


def log_warning(event, **fields):
    """Write an event to the log at level warning."""
    logging.warning('%s', format_event(event, **fields))


def log_error(event, **fields):
    """Write an event to the log at level error."""
    logging.error('%s', format_event(event, **fields))
