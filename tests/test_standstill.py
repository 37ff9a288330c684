"""What clients get from a dispatcher that stands still until their deadline and its grace are over."""

from __future__ import annotations

import time

from tests.test_admin_endpoint import AdminEndpointTestCase

DEADLINE_S = 0.2
STANDSTILL_S = 1.5  # longer than a deadline and the grace after it


class Standstill(AdminEndpointTestCase):
    def test_a_request_that_was_never_forwarded_is_refused(self) -> None:
        """Guards against 500, after which a client may not try again, for a job that has not run."""
        self.call("DETACH s-0")
        self.call("DETACH s-1")
        client = self.send_request(wait=str(DEADLINE_S))
        self.run_for(DEADLINE_S / 4)
        time.sleep(STANDSTILL_S)
        self.assertEqual(self.response_status(client), 503)
        self.run_for(0.1)
        self.assertEqual(self.figures()["forwards"], 0)

    def test_a_request_that_was_forwarded_is_not(self) -> None:
        client = self.send_request(wait=str(DEADLINE_S))
        self.next_dispatch()
        time.sleep(STANDSTILL_S)
        self.assertEqual(self.response_status(client), 500)
