"""Prometheus text exposition of one process's counters, gauges and histograms."""

from __future__ import annotations

from egretford.http.messages import Headers, HttpRequest
from egretford.http.responder import Responder
from egretford.metrics import Metrics

CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")


def render_metrics(metrics: Metrics) -> str:
    """Return all series in the Prometheus text format; durations are in seconds."""
    lines = [
        f'egretford_events_total{{event="{name}"}} {count}'
        for name, count in sorted(metrics.counters.items())
    ]
    lines += [
        f'egretford_level{{name="{name}"}} {value}'
        for name, value in sorted(metrics.gauges.items())
    ]
    for row in metrics.list_histograms():
        labels = f'tenant="{row.tenant}",class="{row.urgency}"'
        name = f"egretford_{row.name}_seconds"
        for percent, seconds in row.percentiles.items():
            lines.append(f'{name}{{{labels},quantile="{percent}"}} {seconds:.6f}')
        lines.append(f"{name}_max{{{labels}}} {row.maximum:.6f}")
        lines.append(f"{name}_count{{{labels}}} {row.count}")
    return "\n".join(lines) + "\n"


class MetricsHandler:
    """HTTP handler that answers each request with the current metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Respond with status 200 and all series, whatever the request's path."""
        body = render_metrics(self._metrics).encode()
        responder.send_response(200, Headers([CONTENT_TYPE]), body)
