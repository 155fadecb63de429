import pytest

from tests.processes.deployment import Deployment


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Stand-ins and three entries, shared by the tests of a module."""
    running = Deployment.start(tmp_path_factory.mktemp("deployment"))
    yield running
    running.close()
