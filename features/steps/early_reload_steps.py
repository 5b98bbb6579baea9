"""Steps for processes that are told early to reload their settings."""

from os import environ
from pathlib import Path
from shutil import rmtree
from signal import SIGTERM
from subprocess import PIPE
from subprocess import Popen
from sys import executable
from tempfile import mkdtemp
from threading import Timer

from behave import given
from behave import then

from features.steps.platform_path_steps import DOMAINS
from features.steps.platform_path_steps import free_ports
from features.steps.platform_path_steps import REGIONS
from features.steps.platform_path_steps import TEMPLATE

WAIT_TIMEOUT_S = 20.0
# Runs the daemon, which sends itself SIGHUP once, as it imports a module or
# opens a file.
PROGRAM = """
from os import getpid, kill
from runpy import run_module
from signal import SIGHUP
from sys import addaudithook
moments = [{moment!r}]
def watch(event, values):
    if event in ('import', 'open') and values[0] in moments:
        moments.clear()
        kill(getpid(), SIGHUP)
addaudithook(watch)
run_module('fuchsiacart.platform', run_name='__main__')
"""
LISTENERS = {
    'control host': ('control', 'directory'),
    'gateway': ('caller', 'ready'),
}


def write_settings(folder, kind):
    """Write the settings of a process that is alone.

    :return: their path.
    """
    names = ('peer', *LISTENERS[kind])
    ports = dict(zip(names, free_ports(len(names))))
    path = folder / 'settings.toml'
    text = TEMPLATE.format(
        role='control' if kind == 'control host' else 'gateway',
        seeds=f'"127.0.1.1:{ports["peer"]}"',
        name='host-1',
        region=REGIONS[DOMAINS[0]],
        domain=DOMAINS[0],
        ip='127.0.1.1',
        ports=ports,
        digest='0' * 64,
        folder=folder / 'data',
        listeners='\n'.join(
            f'{name}_address = "127.0.1.1:{ports[name]}"'
            for name in LISTENERS[kind]
        ),
        regions=f'"{DOMAINS[0]}" = "{REGIONS[DOMAINS[0]]}"',
    )
    path.write_text(text)
    return path


@given('a {kind} that gets SIGHUP as it {moment}')
def given_early_signal(context, kind, moment):
    folder = Path(mkdtemp(prefix='fuchsiacart-reload-'))
    context.resources.callback(rmtree, folder, ignore_errors=True)
    path = write_settings(folder, kind)
    name = moment.removeprefix('imports ')
    if moment == 'reads its settings':
        name = str(path)
    process = Popen(
        [executable, '-c', PROGRAM.format(moment=name)],
        env=environ | {'FUCHSIACART_SETTINGS': str(path)},
        stdout=PIPE,
        stderr=PIPE,
        text=True,
    )
    context.resources.callback(process.kill)
    context.process = process


@then('it reloads its settings by the signal and ends when it is stopped')
def then_reloaded(context):
    process = context.process
    limit = Timer(WAIT_TIMEOUT_S, process.kill)
    limit.start()
    lines = []
    for line in process.stdout:
        lines.append(line)
        if 'event=settings_reloaded' in line:
            break
    process.send_signal(SIGTERM)
    _, errors = process.communicate()
    limit.cancel()
    assert lines and 'settings_reloaded' in lines[-1], (
        process.returncode,
        lines,
        errors,
    )
    assert process.returncode == 0, (process.returncode, errors)
