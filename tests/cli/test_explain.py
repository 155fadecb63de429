"""The explain command: finds the log lines that explain a request's outcome."""

from __future__ import annotations

from egretford.cli.main import main

LOG = """
  1.0 edge-1 timestamp=2026-01-01T00:00:01Z level=info event="workers: learnt of a worker" \
instance=edge-1 worker=w1
timestamp=2026-01-01T00:00:01Z level=info event="workers: learnt of a worker" instance=edge-2 \
worker=w1
timestamp=2026-01-01T00:00:03Z level=info event="forwarding: chose a worker" instance=edge-1 \
request=r1 worker=w1
timestamp=2026-01-01T00:00:02Z level=info event="keepers: lost a keeper" instance=edge-1 keeper=k1
timestamp=2026-01-01T00:00:04Z level=info event="gateway: refused" instance=edge-1 request=r1 \
reason="the connection to \\"w1\\" was closed" status=502
timestamp=2026-01-01T00:00:04Z level=info event="gateway: refused" instance=edge-1 request=r2
"""


def test_state_and_request_lines_are_printed_in_order(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(LOG.replace("\\\n", ""))
    assert main(["explain", "r1", str(path)]) == 0
    lines = capsys.readouterr().out.splitlines()
    events = [line.split("  ")[3] for line in lines if line.startswith("  ")]
    assert events == [
        "workers: learnt of a worker",
        "keepers: lost a keeper",
        "forwarding: chose a worker",
        "gateway: refused",
    ]
    assert 'reason=the connection to "w1" was closed' in lines[-1]


def test_an_unknown_request_is_reported(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(LOG)
    assert main(["explain", "r9", str(path)]) != 0
    assert "no line" in capsys.readouterr().out
