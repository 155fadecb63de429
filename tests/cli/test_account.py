"""The account command: breakdown of a bench day from its report and logs."""

from __future__ import annotations

import json

from egretford.cli.exits import ExitStatus
from egretford.cli.main import main

REPORT = {
    "G": 0.7,
    "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.15, 0.4]],
    "prices": [["machine-seconds", 500.0, 0.05], ["probes", 1.0, 0.0]],
    "windows": [
        {"name": n, "n": 10, "in_aim": a, "late": 10 - a, "refused": 0, "failed": 0}
        | {"not_owed": 0, "worth": a / 10}
        for n, a in (("0", 10), ("2", 4))
    ],
    "events": [{"at_s": 1.5, "to_s": 3.0, "kind": "burst", "what": "all"}],
    "breaks": {},
}
LOG = """
timestamp=2026-01-01T00:00:01.100Z event="forwarding: chose a worker" instance=e request=r1
timestamp=2026-01-01T00:00:01.400Z event="gateway: answered" instance=e request=r1 events=4 \
offers=1 ms=350.0
timestamp=2026-01-01T00:00:02Z event="gateway: refused" instance=e request=r2 kind=overloaded \
reason="status 503 at 10.0.0.1:80"
timestamp=2026-01-01T00:00:02Z event="gateway: refused" instance=e request=r3 kind=overloaded \
reason="status 503 at 10.0.0.2:80"
timestamp=2026-01-01T00:00:02Z event="gateway: broke off an answer" instance=e request=r5 \
kind=store_unavailable reason="the turn is kept by 1 keepers only, of 3 asked"
timestamp=2026-01-01T00:00:02Z event="forwarding: an attempt was lost" instance=e request=r4 \
reason="10.0.0.1:80: the connection was closed"
"""


def run_account(tmp_path, capsys, document):
    report, log = tmp_path / "report.json", tmp_path / "log"
    report.write_text(json.dumps(document))
    log.write_text(LOG.replace("\\\n", ""))
    status = main(["account", str(report), str(log)])
    return status, capsys.readouterr()


def test_losses_are_listed_by_size_with_disruptions(tmp_path, capsys):
    status, printed = run_account(tmp_path, capsys, REPORT)
    assert status == 0
    lines = [line.strip() for line in printed.out.splitlines()]
    losses = [line.split("  ")[1] for line in lines[lines.index("Losses:") + 1 :][:3]]
    assert losses == [
        "worst windows (0.400)",
        "whole day (0.900)",
        "machine-seconds (500.000)",
    ]
    assert "2 s  0.40 of 10 programs; 6 late, 0 refused, 0 failed" in lines
    assert "1.5 to 3.0 s  burst: all" in lines


def test_logs_give_request_times_and_causes_of_refusals(tmp_path, capsys):
    _, printed = run_account(tmp_path, capsys, REPORT)
    assert "until a worker was chosen      50      50      50" in printed.out
    assert "from then to the end          300     300     300" in printed.out
    assert "2  overloaded: status N at N" in printed.out
    assert (
        "Answers broken off by cause:\n       1  store_unavailable: the turn is kept by N"
        in printed.out
    )
    assert "1  N: the connection was closed" in printed.out


def test_an_invalid_report_is_refused(tmp_path, capsys):
    status, printed = run_account(tmp_path, capsys, {"G": 1.0})
    assert status == ExitStatus.BAD_INPUT
    assert "give a file of --report" in printed.err
