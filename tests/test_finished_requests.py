"""What is kept of a request that has been answered, or whose caller has left."""

import unittest

from nose2.tools import params

from beechbridge.gateway.events import CallerDisconnected
from beechbridge.gateway.models import LinkFault, Reply
from beechbridge.gateway.requests.works import FORGOTTEN_REPLY, Work

from .gateways import ManualRequest, single_route, start_register, start_sweeps

BODY = bytes(range(16))


def start_single():
    return ManualRequest(
        start_register(single_route('file', is_idempotent=False)), 'q1', '/file/x', 'POST', 4000.0
    )


def start_gather():
    return ManualRequest(start_sweeps(3, zones=('brum-a',)), 'q1', '/sweep/x', 'POST', 1200.0)


def reply_to_all(request, status=200):
    for number in range(len(request.sends)):
        request.end(Reply(status, [], BODY, f's{number}', 'q1'), number)


def fail_first(request):
    request.fail(0, LinkFault.OVERSIZED)


def reply_once(request):
    request.end(Reply(200, [], BODY, 's0', 'q1'), 0)
    request.wait(2000.0)


def leave(request):
    if len(request.sends) > 1:
        request.end(Reply(200, [], BODY, 's0', 'q1'), 0)
    request.deliver(CallerDisconnected(request.key))


class FinishedRequestsTest(unittest.TestCase):
    # They refer to each other, so that all bodies stayed until the garbage collector ran.
    @params(
        ('answered', start_single, reply_to_all),
        ('failed by its replica', start_single, lambda request: reply_to_all(request, 500)),
        ('failed', start_single, fail_first),
        ('left by its caller', start_single, leave),
        ('gathered', start_gather, reply_to_all),
        ('gathered in part', start_gather, reply_once),
        ('gathered and left by its caller', start_gather, leave),
    )
    def test_no_payload_is_kept_of_a_request_that_was(self, _, start, end):
        request = start()
        work = request.gateway.works[request.key]
        self.assertIsInstance(work, Work)
        self.assertEqual(work.request.body, b'deed')
        end(request)
        self.assertNotIn(request.key, request.gateway.works)
        self.assertTrue(work.is_finished)
        self.assertEqual((work.request.request_id, work.request.body), ('q1', b''))
        for task in work.tasks:
            for reply in (task.reply, task.failed_reply):
                self.assertIn(reply, (None, FORGOTTEN_REPLY))
        # What the driver still has to send is whole.
        self.assertEqual({send.request.body for send in request.sends}, {b'deed'})
