"""Commands of `pistachioseam` on files and on a running deployment."""

import copy
import json
import pathlib
import subprocess
import sys

import attrs
import fixtures
import yaml

from pistachioseam_standins import deployment
from tests import deployments
from tests.platform import test_documents
from tests import support

ROOT = pathlib.Path(__file__).parent.parent.parent
REFERENCE = ROOT / 'docs' / 'reference'


def _run_command(*arguments: object) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, '-m', 'pistachioseam_operator']
    return subprocess.run(
        [*command, *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=30,
    )


def _write(case: support.Case, content: object) -> pathlib.Path:
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    path = folder / 'tables.yaml'
    path.write_text(yaml.safe_dump(content))
    return path


def test_check_reports_all_findings_at_once(case: support.Case) -> None:
    """Errors of both tables are all printed, with table, row and field."""
    target = {'name': 'e', 'address': 'host:1', 'domain': 'd', 'size': 3}
    pool = {'name': 'p', 'kind': 'model', 'targets': [target]}
    routes = [
        {'name': 'r', 'team': 't', 'pool': 'none'},
        {'name': 's', 'team': 't'},
    ]
    path = _write(case, {'routes': routes, 'pools': [pool]})
    ended = _run_command('check', path)
    case.assertEqual(1, ended.returncode)
    for part in (
        'pools:p:targets[0]',
        'unknown key: size',
        'routes:r:pool: error: there is no pool "none"',
        'routes:s:pool: error: required key is missing',
    ):
        case.assertIn(part, ended.stdout)


def test_check_accepts_the_example(case: support.Case) -> None:
    """`check` has no findings for the example tables."""
    ended = _run_command('check', ROOT / 'examples' / 'tables.yaml')
    case.assertEqual((0, ''), (ended.returncode, ended.stdout))


def test_check_reports_on_a_desired_state(case: support.Case) -> None:
    """Findings and differences are printed, as text and as JSON."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    former, new = folder / 'former.json', folder / 'new.json'
    document = copy.deepcopy(test_documents.CONFIG)
    # One of the route's services has no engines.
    document['routes'][0]['sessionAffinity'] = False
    former.write_text(json.dumps(document))
    document['version'] = 8
    document['routes'][1]['targetLatencyMs'] = 9000
    new.write_text(json.dumps(document))
    ended = _run_command('check', former)
    case.assertEqual((0, ''), (ended.returncode, ended.stdout), ended.stderr)
    ended = _run_command('check', new, f'--against={former}')
    case.assertEqual(1, ended.returncode, ended.stderr)
    objective, *changed = ended.stdout.splitlines()
    case.assertTrue(objective.startswith(f'{new}:routes:r-2:objective: error'))
    case.assertEqual(
        [
            'changed: version: 7 -> 8',
            'changed: routes.r-2.targetLatencyMs: absent -> 9000',
        ],
        changed,
    )
    ended = _run_command('check', new, f'--against={former}', '--as_json')
    case.assertEqual(1, ended.returncode, ended.stderr)
    report = json.loads(ended.stdout)
    (finding,) = report['findings']
    case.assertEqual(
        ('routes:r-2', 'objective', 'error'),
        (finding['row'], finding['field'], finding['severity']),
    )
    case.assertEqual(2, len(report['differences']))
    ended = _run_command('check', new, '--store=127.0.0.1:1')
    case.assertEqual(4, ended.returncode, ended.stdout)


def test_check_prints_changed_rows_of_table_files(case: support.Case) -> None:
    """The tables in force are what `tables` prints."""
    example = yaml.safe_load((ROOT / 'examples/tables.yaml').read_text())
    former = _write(case, example)
    example['routes'][0]['deadline_seconds'] = 77.0
    new = _write(case, example)
    ended = _run_command('check', new, f'--against={former}')
    case.assertEqual(0, ended.returncode, ended.stdout + ended.stderr)
    (line,) = ended.stdout.splitlines()
    case.assertIn('deadline_seconds', line)
    case.assertIn('-> 77.0', line)


def test_apply_reports_a_lost_race(case: support.Case) -> None:
    """Of two edits with the same base revision, the second exits with 3."""
    spec = deployment.Spec(entries=1)
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    platform = f'--platform={local.platform.address}'
    fetched = yaml.safe_load(_run_command('tables', platform).stdout)
    fetched['routes'][0]['deadline_seconds'] = 30.0
    first = _run_command('apply', _write(case, fetched), platform)
    case.assertIn('applied as revision', first.stdout, first.stderr)
    fetched['routes'][0]['deadline_seconds'] = 40.0
    second = _run_command('apply', _write(case, fetched), platform)
    case.assertEqual(3, second.returncode)
    case.assertIn(f'routes:{fetched["routes"][0]["name"]}', second.stdout)
    entry = local.entries[0]

    def is_in_force() -> bool:
        routes = deployments.dump(entry)['configuration']['routes']
        return 30.0 in [route['deadline_seconds'] for route in routes]

    deployment.wait_until(is_in_force, 'the first edit is not in force')


def test_dump_and_explain(case: support.Case) -> None:
    """`explain` finds the host that served a request among several."""
    spec = deployment.Spec(entries=2)
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    response = deployments.book(local.entries[1].address, 'k')
    request = response.headers['pistachioseam-request-id']
    hosts = ','.join(entry.admin_address for entry in local.entries)
    explained = json.loads(
        _run_command('explain', request, f'--hosts={hosts}').stdout
    )
    case.assertEqual('done', explained['outcome'])
    case.assertEqual('service-1', explained['attempts'][0]['target'])
    dumped = json.loads(
        _run_command('dump', local.entries[0].admin_address).stdout
    )
    case.assertEqual('entry-1', dumped['host'])
    metrics = deployment.call(
        'GET', local.entries[1].admin_address, '/metrics'
    )
    case.assertIn('pistachioseam_requests_total', metrics)


def test_load_prints_outcomes_and_percentiles(case: support.Case) -> None:
    """`load` prints the outcomes and the time to first token."""
    spec = deployment.Spec(entries=2)
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    content = yaml.safe_load((ROOT / 'examples/experiment.yaml').read_text())
    content['scenarios'][0]['seconds'] = 2.0
    hosts = ','.join(entry.address for entry in local.entries)
    ended = _run_command(
        'load',
        _write(case, content),
        f'--hosts={hosts}',
        f'--key={deployments.API_KEY}',
        f'--model={deployment.MODEL}',
        '--rate=8',
        '--piece_bytes=800',
    )
    case.assertRegex(ended.stdout, r'^done: \d+\n', ended.stderr)
    case.assertIn('first token: p50', ended.stdout)


@attrs.frozen
class Page:
    """Page of docs/reference and the command that prints its content."""

    command: str
    name: str


def test_reference_pages_match_the_code(case: support.Case) -> None:
    """The reference pages list exactly the settings and events in the code."""
    for page in (
        Page('settings', 'settings.md'),
        Page('call_settings', 'call-settings.md'),
        Page('events', 'events.md'),
    ):
        text = (REFERENCE / page.name).read_text()
        for line in _run_command(page.command).stdout.splitlines():
            case.assertIn(f'\n    {line}\n', text)
        lines = [x for x in text.splitlines() if x.startswith('    ')]
        printed = _run_command(page.command).stdout.splitlines()
        case.assertEqual(len(printed), len(lines))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
