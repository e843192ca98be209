"""Tests that messages between hosts keep their bytes.

A renamed message class or a moved field would cut off hosts of the previous
release, which a round trip through one release can't show.
"""

import pathlib
import typing
import unittest

import yaml

from godwitnotch.core import messages
from godwitnotch.net import codec
from godwitnotch.net import peer_auth

RECORDED = yaml.safe_load(
    (pathlib.Path(__file__).parent / "wire_bytes.yaml").read_text()
)
CODECS = {
    "messages": (codec.MESSAGES, messages.LinkMessage),
    "handshake": (peer_auth._CODEC, peer_auth.HandshakeMessage),
}


class WireBytesTest(unittest.TestCase):
    def test_recorded_bytes_are_read_and_written_back(self) -> None:
        for name, (each, _) in CODECS.items():
            for kind, rows in RECORDED[name].items():
                for row in rows:
                    with self.subTest(codec=name, kind=kind, row=row):
                        data = bytes.fromhex(row)
                        message = each.decode(data).unwrap()
                        self.assertEqual(each.encode(message).hex(), row)

    def test_every_message_class_is_recorded(self) -> None:
        for name, (each, union) in CODECS.items():
            recorded = {
                type(each.decode(bytes.fromhex(row)).unwrap())
                for rows in RECORDED[name].values()
                for row in rows
            }
            self.assertEqual(recorded, set(typing.get_args(union)), name)
