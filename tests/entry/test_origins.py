"""The records of streams' origins, as an entry reads them."""

from __future__ import annotations

from egretford.entry.dialing import WorkerDialer
from egretford.entry.models import CallerRequest, Route, RouteKind, WeightedUpstream, Worker
from egretford.entry.origins import StreamOrigins
from egretford.entry.workers import WorkerTable
from egretford.errors import PeerUnreachableError
from egretford.http.messages import Headers, HttpRequest
from egretford.keeper.messages import FoundAttempts, ProgramCharges
from egretford.metrics import Metrics
from egretford.policy.ledger import Charge, StreamOrigin
from tests.entry.test_workers import FakeClock, FakeStoreRecovery
from tests.platform.standins import NullLog

HTTP = HttpRequest(b"POST", b"/", Headers(), b"", True, 0.0)
TARGETS = (WeightedUpstream("m", 1.0),)
ROUTE = Route("plan", "h", "/", RouteKind.STREAMING, TARGETS, 3.0, 0.3, 0, 1, False, 60.0, True)
ORIGIN = StreamOrigin(0, "m", "v1")


# Guards against a stream that is not resumed because connections to keepers were just reset.
async def test_an_origin_is_read_right_after_connections_to_keepers_were_reset(make_client):
    reset = {"a", "b", "c"}

    def make_reply(name):
        def reply(message):
            if name in reset:
                reset.discard(name)
                raise PeerUnreachableError(name)
            held = Charge(message.program, "p", 0, origin=ORIGIN)
            return FoundAttempts(ProgramCharges.pack(message.program, [held]), (0.0,), False)

        return reply

    client, _ = make_client(**{name: (make_reply(name), 0.0) for name in "abc"})
    workers = WorkerTable(
        FakeClock(), FakeStoreRecovery(), WorkerDialer(FakeClock(), Metrics(), NullLog()), NullLog()
    )
    for version in ("v1", "v2"):
        workers.update_worker(
            Worker(version, "m", "10.0.0.1:80", "z", 1, False, software_version=version)
        )
    origins = StreamOrigins(client, workers, NullLog())
    assert not await origins.write(Charge("other", "o", 0, origin=ORIGIN))
    assert not client.list_available()
    request = CallerRequest("q", "h", "/", HTTP, resume_after="2")
    stream = await origins.open(request, ROUTE, "m")
    assert stream.is_fixed and stream.origin == ORIGIN
