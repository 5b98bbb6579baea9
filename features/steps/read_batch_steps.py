"""Steps for reads that share calls."""

from asyncio import create_task
from asyncio import gather
from asyncio import run
from asyncio import sleep
from time import monotonic

from behave import given
from behave import then
from behave import when

from fuchsiacart.control.read_batches import ReadBatches

MILLISECONDS = 1000


class Source:
    """Something that is read by calls which take a while."""

    def __init__(self, taken_ms, fails=False):
        self._taken_s = taken_ms / MILLISECONDS
        self._fails = fails
        self.value = 0
        self.calls = 0
        self.begun_s = []
        self.under_way = 0
        self.most_under_way = 0

    async def read(self):
        """Return the value that there was when the call began."""
        self.calls += 1
        self.begun_s.append(monotonic())
        value = self.value
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        await sleep(self._taken_s)
        self.under_way -= 1
        if self._fails:
            raise ValueError(f'call {self.calls}')
        return value


@given('calls that take {taken:d} ms')
def given_calls(context, taken):
    context.source = Source(taken)


@given('calls that fail')
def given_failing(context):
    context.source = Source(0, fails=True)


@when('{count:d} reads begin at once')
def when_at_once(context, count):
    async def read_all():
        batches = ReadBatches(context.source.read)
        context.results = await gather(
            *(batches.read() for _ in range(count)), return_exceptions=True
        )
        context.calls = context.source.calls
        context.later = await gather(batches.read(), return_exceptions=True)

    run(read_all())


@when('a read begins, then a change is made, then another read begins')
def when_changed(context):
    async def read_both():
        batches = ReadBatches(context.source.read)
        first = create_task(batches.read())
        await sleep(0.01)
        context.source.value = 1
        context.second = await batches.read()
        await first

    run(read_both())


@when('a read begins each {interval:d} ms for {span:d} ms')
def when_repeated(context, interval, span):
    context.asked_s = []

    async def read_all():
        batches = ReadBatches(context.source.read)
        tasks = []
        for _ in range(span // interval):
            context.asked_s.append(monotonic())
            tasks.append(create_task(batches.read()))
            await sleep(interval / MILLISECONDS)
        await gather(*tasks)

    run(read_all())


@then('all get the same result, after at most {most:d} calls')
def then_same(context, most):
    assert set(context.results) == {0}, context.results
    assert context.calls <= most, context.calls


@then('the second read sees the change')
def then_seen(context):
    assert context.second == 1, context.second


@then('no call begins over {most:d} ms after a read that waits for it')
def then_begun(context, most):
    for asked_s in context.asked_s:
        begun_s = min(
            each for each in context.source.begun_s if each > asked_s
        )
        assert (begun_s - asked_s) * MILLISECONDS <= most


@then('at most {most:d} calls are under way at the same time')
def then_under_way(context, most):
    assert context.source.most_under_way <= most, context.source.most_under_way


@then('each fails, and the next read makes a new call')
def then_failed(context):
    assert all(isinstance(each, ValueError) for each in context.results)
    assert context.source.calls > context.calls
