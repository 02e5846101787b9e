"""VMs of earlier and later builds understand each other's frames while a fleet is upgraded."""

import io
import itertools
import json
import unittest

from nose2.tools import params

from beechbridge.wire.fleet import (
    PARTS_PATH,
    decode_changes,
    decode_datagram,
    encode_member,
    read_order,
    read_parts,
)

from .golden import (
    ANSWERED,
    CHANGES,
    FRAMES_FILE,
    ORDER,
    PARTS,
    SUSPECTS,
    WANTED,
    make_frames,
    make_member,
)

GOLDEN = json.loads(FRAMES_FILE.read_text())
DECODERS = {
    'heartbeat': lambda data: encode_heartbeat_of(decode_datagram(data)),
    'permits wanted': lambda data: decode_datagram(data).message,
    'permits answered': lambda data: decode_datagram(data).message,
    'suspects': lambda data: decode_datagram(data).report,
    'changes': lambda data: decode_changes(data).changes,
    'order': lambda data: decode_order(data),
    'parts': lambda data: read_parts(200, [], data, False).answer,
}
CASES = [('this build', name) for name in DECODERS]
for landing, frames in GOLDEN.items():
    CASES.extend((landing, name) for name in frames)

UNKNOWN_FIELDS = {
    'number': b'\x05\xc8\x01\x54',
    'text': b'\x08\xc8\x01\x03new',
    'list of structs': b'\x09\xc8\x01\x1c\x15\x02\x00',
}
"""Fields with the number 100 in Thrift's compact protocol."""

END_OF_STRUCT = b'\x00'


def encode_heartbeat_of(event):
    members = [encode_member(member) for member in event.members]
    return members, event.table_version, event.revision, event.wants_members, event.epoch


def decode_order(data):
    return read_order({'PATH_INFO': PARTS_PATH, 'wsgi.input': io.BytesIO(data)})


def frame_of(build, name):
    frames = GOLDEN.get(build) or make_frames()
    return bytes.fromhex(frames[name])


WANTED_BY_NAME = {
    'heartbeat': ([encode_member(make_member())], 9, 8, True, 2),
    'permits wanted': WANTED,
    'permits answered': ANSWERED,
    'suspects': SUSPECTS,
    'changes': CHANGES.changes,
    'order': ORDER,
    'parts': PARTS,
}


class GoldenFramesTest(unittest.TestCase):
    # A VM that misread a frame of another build would lose its members, permits or parts.
    @params(*CASES)
    def test_frame_of_another_build_is_understood(self, build, name):
        self.assertEqual(DECODERS[name](frame_of(build, name)), WANTED_BY_NAME[name])

    # A field that a later build adds must not make this one drop the message.
    @params(*itertools.product(DECODERS, UNKNOWN_FIELDS))
    def test_unknown_field_is_passed_over(self, name, field):
        frame = frame_of('this build', name)
        self.assertEqual(frame[-1:], END_OF_STRUCT)
        data = frame[:-1] + UNKNOWN_FIELDS[field] + END_OF_STRUCT
        self.assertEqual(DECODERS[name](data), WANTED_BY_NAME[name])
