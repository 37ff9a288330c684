"""The operator's command line against fake control nodes: redirects, unavailable nodes, refusals."""

from __future__ import annotations

import json
import tempfile
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from click.testing import CliRunner, Result

from heronstall.cli.ctl import ctl
from heronstall.controlplane.client import ControlClient, NoAnswer

CONFIG = {
    "revision": 7,
    "routes": [{"name": "a", "hostname": "h", "path_prefix": "/a/", "timeout_ms": 100, "service": "s"}],
    "services": [{"name": "s"}],
}


class Node:
    """A control node that replies from a list and records the requests."""

    def __init__(self, *responses: tuple[int, dict[str, str], object]) -> None:
        self.responses = list(responses)
        self.requests: list[tuple[str, str, str | None, bytes]] = []
        node = self

        class Handler(BaseHTTPRequestHandler):
            def answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                node.requests.append((self.command, self.path, self.headers.get("If-Match"), body))
                status, headers, document = (
                    node.responses.pop(0) if len(node.responses) > 1 else node.responses[0]
                )
                text = json.dumps(document).encode()
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_GET = do_PUT = do_PATCH = do_POST = answer

            def log_message(self, *args: object) -> None:
                return

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class CtlCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "config.json"
        self.file.write_text(json.dumps(CONFIG))

    def node(self, *responses: tuple[int, dict[str, str], object]) -> Node:
        node = Node(*responses)
        self.addCleanup(node.close)
        return node

    def run_ctl(self, *arguments: str) -> Result:
        return CliRunner().invoke(ctl, list(arguments))

    def test_redirect_repeats_the_request_at_the_leader(self) -> None:
        leader = self.node((200, {}, {"revision": 7}))
        other = self.node((307, {"Location": f"http://{leader.address}/-/config"}, {}))
        result = self.run_ctl("config", "apply", str(self.file), "--on", "5", "--control", other.address)
        self.assertEqual((result.exit_code, result.output.strip()), (0, "revision 7 is in force"))
        self.assertEqual(leader.requests, [("PUT", "/-/config", "5", self.file.read_bytes())])

    def test_refusal_is_printed_with_its_code_and_not_retried(self) -> None:
        node = self.node((412, {}, {"code": 1009, "error": "revision 9 is current"}))
        result = self.run_ctl("config", "apply", str(self.file), "--on", "5", "--control", node.address)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("412 code 1009: revision 9 is current", result.output)
        self.assertEqual(len(node.requests), 1)

    def test_inconclusive_response_is_retried_at_the_next_node(self) -> None:
        unavailable = self.node((503, {}, {}))
        accepting = self.node((200, {}, CONFIG))
        waits: list[float] = []
        answer = ControlClient([unavailable.address, accepting.address], pause=waits.append).call(
            "GET", "/-/config"
        )
        self.assertEqual((answer.status, answer.address, len(waits)), (200, accepting.address, 1))

    def test_no_node_gives_a_conclusive_response(self) -> None:
        node = self.node((503, {}, {}))
        with self.assertRaises(NoAnswer) as caught:
            ControlClient([node.address], within=0.2).call("GET", "/-/config")
        self.assertIn("status 503", str(caught.exception))

    def test_file_is_checked_without_a_node(self) -> None:
        result = self.run_ctl("config", "check", str(self.file), "--above", "6")
        self.assertEqual((result.exit_code, "revision 7, 1 routes" in result.output), (0, True))
        no_service = json.dumps({**CONFIG, "services": []})
        for text, expected in (("{", "1001 UNREADABLE"), (no_service, "1004 UNKNOWN_SERVICE")):
            self.file.write_text(text)
            result = self.run_ctl("config", "check", str(self.file))
            self.assertEqual(result.exit_code, 2)
            self.assertIn(expected, result.output)

    def test_invalid_arguments_exit_with_2_and_are_named(self) -> None:
        result = self.run_ctl("config", "show", "--control", "nowhere")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("--control nowhere", result.output)
        result = self.run_ctl("config", "apply", "none.json", "--on", "1", "--control", "h:1")
        self.assertEqual((result.exit_code, "none.json" in result.output), (2, True))

    def test_retire_prints_the_state(self) -> None:
        node = self.node((200, {}, {}), (200, {}, {"state": "active"}))
        result = self.run_ctl("retire", "storage-1", "--control", node.address)
        self.assertEqual((result.exit_code, result.output.strip()), (0, "storage-1: active"))
        self.assertEqual(
            [s[:2] for s in node.requests], [("POST", "/-/retire/storage-1"), ("GET", "/-/retire/storage-1")]
        )


if __name__ == "__main__":
    unittest.main()
