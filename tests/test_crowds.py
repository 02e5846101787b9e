"""Clients outside the limits: the process lives within `memoryMb` and `maxFds`, and serves."""

import unittest

from nose2.tools import params

from .crowds import HOST_NAME, Crowd, CrowdedVm, describe_vm

MEMORY_MB = 72
MANY_FDS = 4_000
FEW_FDS = 400
BODY_BYTES = 262_144
HEAD_BYTES = 16_000
SMALLEST = (152, 1_535)
"""The smallest `memoryMb` and `maxFds` of the deployments known so far."""


def head(path, method='POST', fields=''):
    lines = f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nBeechbridge-Request-Id: q\r\n'
    return f'{lines}{fields}\r\n'.encode()


def sized(byte_count, length=0):
    """Return what makes a request with a body of a stated length."""
    fields = f'Content-Length: {length or byte_count + 1}\r\n'
    return lambda path: head(path, fields=fields) + bytes(byte_count)


def chunked(byte_count, chunk_bytes, end=b'0\r\n\r'):
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, bytes(chunk_bytes))
    body = byte_count // chunk_bytes * chunk + end
    return lambda path: head(path, fields='Transfer-Encoding: chunked\r\n') + body


def short_fields(length):
    """Return what makes a legal head of very many short header fields."""
    fields = ''.join(f'{number:x}:\r\n' for number in range(4096, 4096 + HEAD_BYTES // 7))
    return lambda path: head(path, fields=f'Content-Length: {length}\r\n{fields}')


def many_of(count, field_count):
    fields = ''.join(f'{number:x}:\r\n' for number in range(256, 256 + field_count))
    return lambda path: count * head(path, 'GET', fields)


def endless_head(byte_count):
    return lambda path: head(path, fields=f'X-Long: {"x" * byte_count}')[:-2]


def pipelined(count):
    return lambda path: count * head(path, 'GET')


def shortest(count):
    """Return what makes many requests of the shortest head."""
    return lambda path: count * f'GET {path.partition("?")[0]} HTTP/1.1\r\n\r\n'.encode()


def cut(make, byte_count):
    return lambda path: make(path)[:byte_count]


MEMORY_CROWDS = (
    Crowd('bodies of legal size, one byte short', 160, sized(BODY_BYTES - 1)),
    Crowd('bodies in small pieces, one byte short', 140, sized(BODY_BYTES - 1), 4_096),
    Crowd('bodies in chunks, one byte short', 140, chunked(BODY_BYTES, 1_024)),
    Crowd('complete bodies of legal size', 140, sized(BODY_BYTES, BODY_BYTES)),
    Crowd('bodies far over the limit by length', 40, sized(1_000_000, 100_000_000)),
    Crowd('bodies far over the limit by chunks', 8, chunked(9_000_000, 65_536)),
    Crowd('very many short fields', 300, short_fields(0)),
    Crowd('very many short fields, body missing', 300, short_fields(9)),
    Crowd('pipelined requests, no answer read', 100, shortest(400)),
    Crowd('pipelined requests of many fields', 300, many_of(13, 90)),
    Crowd('long heads without their end', 600, endless_head(60_000)),
)
DESCRIPTOR_CROWDS = (
    Crowd('connections that send nothing', 600, lambda path: b''),
    Crowd('half a head', 600, cut(pipelined(1), 30)),
    Crowd('half a body', 600, sized(100)),
    Crowd('half an answer', 600, pipelined(1), 64, 64),
    Crowd('heads sent slowly', 600, cut(pipelined(1), 60), 1),
    Crowd('answers read slowly', 600, pipelined(1), 16, 400),
)
LARGE_CROWDS = (
    Crowd('large answers on few connections, none read', 2, pipelined(200)),
    Crowd('large answers, none read', 150, pipelined(1)),
    Crowd('large answers read half-way', 150, pipelined(1), 4_096, 100_000),
)
PATHS = ('no route', 'readiness', 'directory', 'control', 'route')
ROWS = (
    *((crowd, MANY_FDS, PATHS) for crowd in MEMORY_CROWDS),
    *((crowd, FEW_FDS, PATHS) for crowd in DESCRIPTOR_CROWDS),
    *((crowd, MANY_FDS, ('large',)) for crowd in LARGE_CROWDS),
)


class CrowdTest(unittest.TestCase):
    def start(self, memory_mb, max_fds):
        vm = CrowdedVm(memory_mb, max_fds)
        self.addCleanup(vm.close)
        self.assertEqual(vm.send_ordinary(), 200, vm.read_log()[-2_000:])
        return vm

    # Crowds of clients that no operator controls ended the process, for lack of memory, or
    # took the descriptors that replicas, the store and ordinary clients need.
    @params(*ROWS)
    def test_process_stays_within_its_limits_and_serves(self, crowd, max_fds, places):
        vm = self.start(MEMORY_MB, max_fds)
        for place in places:
            socks = crowd.send(place)
            vm.settle()
            status = vm.send_ordinary()
            seen = f'{crowd.name} at {place}: {describe_vm(vm)}, status {status}'
            for sock in socks:
                sock.close()
            self.assertTrue(vm.is_alive(), seen)
            self.assertLessEqual(vm.peak_mb(), MEMORY_MB, seen)
            self.assertLessEqual(vm.peak_fds, max_fds, seen)
            self.assertEqual(status, 200, seen)

    # Limits that are derived from small settings turned away a single client inside them.
    @params(
        (SMALLEST, {}, BODY_BYTES),
        (SMALLEST, {f'X-{number:x}': '1' for number in range(1_400)}, BODY_BYTES),
        (SMALLEST, {'X-Long': 'x' * 16_000}, 1),
    )
    def test_single_request_inside_the_limits_is_served(self, limits, headers, body_bytes):
        vm = self.start(*limits)
        self.assertEqual(vm.send_ordinary(0.5, headers, bytes(body_bytes)), 200, vm.read_log())
