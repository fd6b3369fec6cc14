"""Steps of metrics, alert rules and their documentation."""

import re
from pathlib import Path

import aiohttp
import yaml
from behave import then

from zinniaturn.entry.metrics import EntryMetrics
from zinniaturn.gateway.counters import Counters
from zinniaturn.gateway.metrics import MetricsSnapshot, build_registry

_ROW = re.compile(
    r'^\| `(zinniaturn_\w+)` \| (\w+) \|([\w, ]*)\|',
    re.MULTILINE,
)
_NAME = re.compile(r'zinniaturn_\w+')
_LABELS = re.compile(r'by \(([^)]*)\)')
_SUFFIXES = ('_bucket', '_sum', '_count')
_ALLOWED_LABELS = frozenset(('le', 'instance'))
_PAGE = Path('docs/METRICS.md')
_RULES = Path('docs/alerts/promises.yaml')
_ALERT_PAGE = Path('docs/operators/alerts.md')


def _registered():
    collectors = [
        *EntryMetrics().registry.get_all(),
        *build_registry(MetricsSnapshot(Counters(), 0, 0)).get_all(),
    ]
    return {collector.name: collector.kind.name for collector in collectors}


def _rows():
    return {
        name: (kind, {label.strip() for label in labels.split(',')} - {''})
        for name, kind, labels in _ROW.findall(_PAGE.read_text())
    }


def _rules():
    groups = yaml.safe_load(_RULES.read_text())['groups']
    return [rule for group in groups for rule in group['rules']]


def _without_suffix(name):
    for suffix in _SUFFIXES:
        name = name.removesuffix(suffix)
    return name


def _scrape(context):
    async def read(port):
        url = f'http://127.0.0.1:{port}/metrics'
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                return await answer.text()

    return [
        context.loop.run_until_complete(read(entry.admin_port))
        for entry in context.fleet.entries
    ]


def _sum_samples(texts, sample):
    rows = (row for text in texts for row in text.splitlines())
    return sum(
        float(row.rsplit(' ', 1)[1])
        for row in rows
        if row.startswith(f'{sample} ')
    )


@then("docs/METRICS.md lists exactly the entry's metrics")
def check_rows(context):
    rows = {name: kind for name, (kind, _) in _rows().items()}
    assert rows == _registered(), (rows, _registered())


@then('every alert rule uses only existing metrics and labels')
def check_rules(context):
    rows = _rows()
    for rule in _rules():
        names = {_without_suffix(name) for name in _NAME.findall(rule['expr'])}
        assert names and names <= set(rows), (rule, names)
        known = set().union(*(rows[name][1] for name in names))
        used = {
            label.strip()
            for group in _LABELS.findall(rule['expr'])
            for label in group.split(',')
        }
        assert used <= known | _ALLOWED_LABELS, (rule, used)


@then(
    'every alert in docs/METRICS.md is a rule and every rule is documented',
)
def check_alerts(context):
    alerts = {rule['alert'] for rule in _rules()}
    promises = _PAGE.read_text().partition('## What must always hold')[2]
    named = set(re.findall('`([A-Z][A-Za-z]+)`', promises))
    assert named and named <= alerts, (named, alerts)
    sections = set(re.findall('^## (.+)$', _ALERT_PAGE.read_text(), re.M))
    assert sections == alerts, (sections, alerts)


@then(
    'the entries together count {count:d} answered requests of pool "{pool}"',
)
def check_answered(context, count, pool):
    sample = f'zinniaturn_requests_total{{pool="{pool}",told="answered"}}'
    assert _sum_samples(_scrape(context), sample) == count


@then(
    'the entries together show {count:d} in the latency histogram '
    'of pool "{pool}"',
)
def check_latencies(context, count, pool):
    texts = _scrape(context)
    sample = f'zinniaturn_request_seconds_count{{pool="{pool}"}}'
    assert _sum_samples(texts, sample) == count, texts[0]
    last = f'zinniaturn_request_seconds_bucket{{le="+Inf",pool="{pool}"}}'
    assert _sum_samples(texts, last) == count, texts[0]


@then('each entry shows {count:d} available servers of pool "{pool}"')
def check_servers(context, count, pool):
    sample = f'zinniaturn_servers{{pool="{pool}",state="available"}}'
    for text in _scrape(context):
        assert _sum_samples([text], sample) == count, text
