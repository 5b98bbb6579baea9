"""Steps that run the product of two builds, one beside the other."""

from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from behave import given
from behave import then
from behave import when
from msgspec.json import decode
from msgspec.msgpack import decode as decode_packed
from msgspec.msgpack import encode as encode_packed

from fuchsiacart.control.disk_formats import FORMAT_FILE
from fuchsiacart.control.records import frame
from tools.compatibility.builds import KEPT_SAMPLES
from tools.compatibility import lay_out_build
from tools.compatibility import production_commit
from tools.compatibility import run_samples


def read_proposal(written):
    """Return the fields of the proposal among samples."""
    return decode_packed(bytes.fromhex(written['message']['ProposeRequest']))


def set_builds(context, *commits):
    """Lay out builds and let them write their samples."""
    context.builds = [lay_out_build(commit) for commit in commits]
    context.written = [
        run_samples(folder, 'write') for folder in context.builds
    ]


def unread(context, reader, writer):
    """Return what one build cannot read of what another one writes."""
    return run_samples(context.builds[reader], 'read', context.written[writer])


@given('what the build in production wrote, as kept with its commit')
def given_kept(context):
    path = KEPT_SAMPLES / f'{production_commit()}.json'
    context.written = [decode(path.read_bytes())]
    context.builds = [lay_out_build('')]


@given('the build in production and this one')
def given_builds(context):
    set_builds(context, production_commit(), '')


@given('the build {commit} and this one')
def given_earlier(context, commit):
    set_builds(context, commit, '')


@given('the builds {first} and {second}')
def given_commits(context, first, second):
    set_builds(context, first, second)


@when('each writes a data folder with a log')
def when_saved(context):
    context.folders = [mkdtemp(prefix='fuchsiacart-build-') for _ in '12']
    for folder in context.folders:
        context.resources.callback(rmtree, folder)
    context.saved = [
        run_samples(build, 'save', None, folder)
        for build, folder in zip(context.builds, context.folders)
    ]


@when('this one writes a data folder, which that one and this one then open')
def when_opened_in_turn(context):
    folder = Path(mkdtemp(prefix='fuchsiacart-build-'))
    context.resources.callback(rmtree, folder)
    production, own = context.builds
    context.saved = [run_samples(own, 'save', None, str(folder))]
    context.marks = [(folder / FORMAT_FILE).read_bytes()]
    context.loaded = []
    for build in (production, own):
        context.loaded.append(run_samples(build, 'load', None, str(folder)))
        context.marks.append((folder / FORMAT_FILE).read_bytes())


@when('a build of {commit} is laid out')
def when_laid_out(context, commit):
    context.error = ''
    try:
        lay_out_build(commit)
    except ValueError as error:
        context.error = str(error)
    context.commit = commit


@then('this build reads all of it')
def then_kept_read(context):
    errors = unread(context, 0, 0)
    assert not errors, errors
    assert all(context.written[0].values()), context.written[0].keys()


@then('each reads all messages, commands, deltas and records of the other')
def then_both_read(context):
    errors = unread(context, 0, 1) + unread(context, 1, 0)
    assert not errors, errors


@then('both come to the same state by the commands of each')
def then_same_state(context):
    for written in context.written:
        first, second = (
            run_samples(folder, 'apply', written) for folder in context.builds
        )
        assert first == second, (first, second)
        assert first['contracts'] and first['audit'], first


@then('the other one reads its whole log')
def then_disks_read(context):
    for build, folder, count in zip(
        reversed(context.builds), context.folders, context.saved
    ):
        names = run_samples(build, 'load', None, folder)
        assert len(names) == count > 1, (names, count)


@then('each of them reads its whole log')
def then_opened(context):
    counts = [len(names) for names in context.loaded]
    assert counts == context.saved * 2 and counts[0] > 1, counts


@then('the folder is marked with format 1 all the time')
def then_marked(context):
    mark = frame(encode_packed({'format': 1}))
    assert context.marks == [mark] * 3, context.marks


@then('this one writes proposals with seen_index')
def then_index_written(context):
    assert 'seen_index' in read_proposal(context.written[1])


@then('the earlier build writes them without')
def then_index_not_written(context):
    assert 'seen_index' not in read_proposal(context.written[0])


@then('the first cannot read {names} of the second')
def then_first_unread(context, names):
    check_unread(unread(context, 0, 1), names)


@then('the second cannot read {names} of the first')
def then_second_unread(context, names):
    check_unread(unread(context, 1, 0), names)


def check_unread(errors, names):
    """Check that messages are among what cannot be read."""
    for name in names.split(' and '):
        assert any(f'message {name}:' in each for each in errors), errors


@then('the error names the commit')
def then_named(context):
    assert context.commit in context.error, context.error
