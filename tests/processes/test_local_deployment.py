"""Tests of the script that starts a local deployment."""

from __future__ import annotations

import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import pytest

from scripts import local_deployment as local


class ReadyHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200)
        self.end_headers()

    def log_message(self, *arguments):
        return


def test_a_process_without_a_command_line_yet_is_waited_for():
    """In the middle of exec, /proc shows no command line yet; a foreign one simulates that."""
    process = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(10)"])
    (port,) = local.find_ports(1)
    server = None

    def serve_later():
        nonlocal server
        time.sleep(0.3)
        server = HTTPServer((local.HOST, port), ReadyHandler)
        server.serve_forever()

    threading.Thread(target=serve_later, daemon=True).start()
    try:
        local.wait_ready({"pid": process.pid, "url": f"http://{local.HOST}:{port}"}, "/readyz")
    finally:
        process.kill()
        process.wait()
        server.shutdown()


def test_a_process_that_ended_is_not_waited_for():
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    (port,) = local.find_ports(1)
    started = time.monotonic()
    with pytest.raises(SystemExit):
        local.wait_ready({"pid": process.pid, "url": f"http://{local.HOST}:{port}"}, "/readyz")
    assert time.monotonic() - started < 5.0


def test_ports_are_none_that_an_outgoing_connection_may_take():
    first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = local.find_ports(20)
    assert len(set(ports)) == 20 and max(ports) < first


# Guards against a process that cannot bind its port again, as the port was free while it was
# stopped and was given to another one.
def test_a_port_is_not_returned_again():
    ports = [port for _ in range(800) for port in local.find_ports(1)]
    assert len(set(ports)) == 800
