"""Runs both example workloads with the code of the load command."""

import pytest

from egretford.cli.load import run_load
from egretford.cli.workload import read_workload
from tests.processes.deployment import ROOT, Deployment

PROGRAMS = 24


@pytest.mark.parametrize("name", ["fernhollow", "sialkot"])
async def test_every_program_of_an_example_is_whole(tmp_path, name):
    deployment = Deployment.start(tmp_path, entries=3, deployment=name)
    try:
        report = await run_load(
            read_workload(ROOT / "examples" / name / "workload.json"),
            entries=deployment.entries,
            services=deployment.services,
            programs=PROGRAMS,
            concurrency=8,
            seed=3,
            show_progress=False,
        )
    finally:
        deployment.close()
    assert (report.whole, report.broken) == (PROGRAMS, 0), report
    assert report.is_successful, report
    assert report.effects > 0
