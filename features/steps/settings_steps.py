"""Steps for settings, error kinds and the command line."""

from pathlib import Path
from subprocess import run
from sys import executable
from tempfile import mkdtemp

from behave import given
from behave import then
from behave import when
from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode
from msgspec import ValidationError

from fuchsiacart.client.reports import format_fields
from fuchsiacart.control.outcomes import Outcome
from fuchsiacart.exceptions import ANSWERS
from fuchsiacart.exceptions import ErrorKind
from fuchsiacart.models import Contract
from fuchsiacart.settings import load_settings
from standins.fleet import DEPLOY_FOLDER
from standins.ports import PortReservations
from tools.settings_reference import render_reference

ROOT = DEPLOY_FOLDER.parent
DEPLOYMENTS = ('golau-beic', 'halvorsen')
FILES_PER_DEPLOYMENT = 13


def run_module(module, *arguments):
    """Run a module of the package to completion."""
    command = [executable, '-m', f'fuchsiacart.{module}', *arguments]
    return run(command, capture_output=True, text=True)


@given('a settings file with an unknown key, a bad port and no host name')
def given_faults(context):
    """Write a settings file with three faults."""
    text = (DEPLOY_FOLDER / 'golau-beic' / 'entry-1.toml').read_text()
    text = text.replace('name = "entry-1"\n', '', 1)
    text = text.replace('http_port = 8080', 'http_port = 99999')
    text = text.replace('[entry]', '[entry]\nno_such_key = 1')
    context.path = Path(mkdtemp()) / 'settings.toml'
    context.path.write_text(text)


@given('the settings file of {name} of {user}')
def given_file(context, name, user):
    context.path = DEPLOY_FOLDER / user / f'{name}.toml'


@given('a contract with a floor of {percent:d} percent')
def given_contract(context, percent):
    context.document = {
        'customer': 'shop',
        'token_sha256': [],
        'routes': [],
        'ranks': [
            {
                'rank': 'urgent',
                'rate_per_s': 1,
                'concurrency': 1,
                'floor_percent': percent,
            }
        ],
    }


@when('it is read')
def when_read(context):
    """Decode the contract and keep the error."""
    try:
        convert(context.document, Contract)
    except ValidationError as error:
        context.error_text = str(error)


@when('the daemon checks it')
def when_checked(context):
    context.completed = run_module('daemon', '--check', str(context.path))


@when('the command asks for the status without a control host')
def when_status_asked(context):
    """Ask an address without a listener."""
    ports = PortReservations()
    context.resources.callback(ports.release)
    host = f'127.0.0.1:{ports.reserve()}'
    context.completed = run_module(
        'cli', f'--control={host}', '--token=x', 'status'
    )


@then('its exit code is {code:d}')
def then_code(context, code):
    assert context.completed.returncode == code, context.completed


@then('each of the 3 faults is listed with its key')
def then_faults(context):
    for key in ('host.name', 'listen.http_port', 'entry.no_such_key'):
        assert f'{key}: ' in context.completed.stderr, context.completed.stderr


@then('all settings files of both users are valid')
def then_all_valid(context):
    for user in DEPLOYMENTS:
        paths = sorted((DEPLOY_FOLDER / user).glob('*.toml'))
        assert len(paths) == FILES_PER_DEPLOYMENT, paths
        for path in paths:
            load_settings(path)


@then('docs/user/settings.md equals the reference made from the classes')
def then_page(context):
    page = ROOT / 'docs' / 'user' / 'settings.md'
    assert page.read_text() == render_reference()


@then('each error kind has one answer')
def then_answers(context):
    assert set(ANSWERS) == set(ErrorKind)


@then('docs/user/callers.md names each error kind')
def then_named(context):
    page = (ROOT / 'docs' / 'user' / 'callers.md').read_text()
    missing = [kind for kind in ErrorKind if f'`{kind.value}`' not in page]
    assert not missing, missing


@then('the error names the floor_percent')
def then_floor(context):
    assert 'floor_percent' in context.error_text, context.error_text


@when("an accepted change's outcome is printed")
def when_printed(context):
    """Format an outcome as the command does."""
    document = decode(encode(Outcome(version=4, revision=9)))
    context.printed = format_fields(document)


@then('it shows its version and revision, and nothing is None')
def then_printed(context):
    lines = context.printed.splitlines()
    assert 'version: 4' in lines and 'revision: 9' in lines, lines
    assert 'None' not in context.printed, lines
