"""Steps that compare the catalogues in the documentation with the code."""

import re
from pathlib import Path

from behave import then

from zinniaturn.commands.exit_status import ExitStatus
from zinniaturn.entry.metrics import EntryMetrics
from zinniaturn.events import EVENTS, LogEvent
from zinniaturn.outcomes.rejections import REJECTIONS
from zinniaturn.outcomes.table import OUTCOMES, Phase

DOCS = Path('docs')
METRIC = re.compile(r"'(zinniaturn_[a-z0-9_]+)'")
SOURCES = Path('zinniaturn')


def first_cells(page, header):
    """Return the first cells of the tables whose first column is ``header``."""
    cells = []
    is_inside = False
    for line in (DOCS / page).read_text('utf-8').splitlines():
        if not line.startswith('|'):
            is_inside = False
            continue
        cell = line.split('|')[1].strip()
        if cell == header:
            is_inside = True
        elif is_inside and not cell.startswith('--'):
            cells.append(cell)
    return cells


def listed_events():
    rows = first_cells('EVENTS.md', 'number')
    return [int(row) for row in rows]


def listed_names(page, header):
    names = []
    for cell in first_cells(page, header):
        found = re.findall('`([^`]+)`', cell)
        assert found, cell
        names.extend(found)
    return names


def coded_metrics():
    """Return the metrics in the sources; the registry must have the same."""
    in_sources = {
        name
        for path in SOURCES.rglob('*.py')
        for name in METRIC.findall(path.read_text('utf-8'))
    }
    registered = {
        collector.name for collector in EntryMetrics().registry.get_all()
    }
    assert registered <= in_sources, registered - in_sources
    return in_sources


@then('the page EVENTS.md lists the log events of the code and no other')
def check_events(context):
    assert set(EVENTS) == set(LogEvent)
    check_same(listed_events(), {int(event) for event in LogEvent})


@then('the page METRICS.md lists the metrics of the code and no other')
def check_metrics(context):
    check_same(listed_names('METRICS.md', 'name'), coded_metrics())


@then('the page CALLERS.md lists the rejection codes of the code and no other')
def check_rejections(context):
    check_same(listed_names('CALLERS.md', 'code'), set(REJECTIONS))


@then('the page OPERATORS.md lists the exit statuses of the code and no other')
def check_statuses(context):
    rows = first_cells('OPERATORS.md', 'status')
    check_same([int(row) for row in rows], {int(row) for row in ExitStatus})


def check_same(listed, coded):
    assert len(listed) == len(set(listed)), f'listed twice: {listed}'
    assert set(listed) == coded, f'differ: {set(listed) ^ coded}'


@then('the outcome table uses no code outside the catalogue')
def check_verdicts(context):
    for (phase, _), verdict in OUTCOMES.items():
        if phase < Phase.ANSWER_BEGUN:
            assert verdict.code in REJECTIONS, verdict


@then('every link between the pages leads to a file')
def check_links(context):
    pages = [Path('README.md'), *DOCS.rglob('*.md')]
    for page in pages:
        for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text('utf-8')):
            assert (page.parent / target).exists(), f'{page}: {target}'
