"""Tests of submission ids."""

import unittest

from returns.result import Failure
from returns.result import Success

from godwitnotch.core import ids

ACME = ids.WorkspaceId("acme")
OWNER = ids.SubmissionOwner(
    ids.DomainId("d1"),
    ids.HostId("h1"),
    ids.Incarnation("0a"),
    ids.Sequence(7),
)


class IdIssuerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.issuer = ids.IdIssuer(secret=b"s" * 32)

    def test_an_issued_id_parses_to_its_owner(self) -> None:
        text = self.issuer.issue(ACME, OWNER)
        self.assertEqual(self.issuer.parse(ACME, text), Success(OWNER))

    def test_an_id_of_another_workspace_is_invalid(self) -> None:
        text = self.issuer.issue(ACME, OWNER)
        parsed = self.issuer.parse(ids.WorkspaceId("other"), text)
        self.assertEqual(parsed, Failure(ids.InvalidId(text)))

    def test_a_changed_sequence_is_invalid(self) -> None:
        text = self.issuer.issue(ACME, OWNER).replace(".7.", ".8.")
        self.assertIsInstance(self.issuer.parse(ACME, text), Failure)

    def test_an_id_of_another_secret_is_invalid(self) -> None:
        text = ids.IdIssuer(secret=b"t" * 32).issue(ACME, OWNER)
        self.assertIsInstance(self.issuer.parse(ACME, text), Failure)

    def test_malformed_text_is_invalid(self) -> None:
        for text in ("", ".", "a.b.c.d.e", "é.b.c.1.e", "a" * 9_999):
            with self.subTest(text=text[:10]):
                self.assertIsInstance(self.issuer.parse(ACME, text), Failure)
