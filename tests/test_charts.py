"""Tests of the chart loader."""

import enum
import unittest

from godwitnotch.core import charts


class Door(enum.Enum):
    CLOSED = "closed"
    OPENED = "opened"


class Push(enum.Enum):
    OPEN = "open"
    CLOSE = "close"


TEXT = """
name: door
initial: closed
states:
  closed: {open: opened}
  opened: {close: closed}
"""


class ChartsTest(unittest.TestCase):
    def test_the_table_follows_the_text(self) -> None:
        chart = charts.parse(TEXT, Door, Push)
        self.assertEqual(chart.initial, Door.CLOSED)
        self.assertEqual(chart.next(Door.CLOSED, Push.OPEN), Door.OPENED)
        self.assertEqual(chart.next(Door.OPENED, Push.CLOSE), Door.CLOSED)

    def test_an_undefined_transition_names_the_remedy(self) -> None:
        chart = charts.parse(TEXT, Door, Push)
        self.assertFalse(chart.accepts(Door.CLOSED, Push.CLOSE))
        with self.assertRaises(charts.UndefinedTransitionError) as caught:
            chart.next(Door.CLOSED, Push.CLOSE)
        self.assertEqual(caught.exception.event, "close")
        self.assertIn("core/charts/door.yaml", str(caught.exception))

    def test_a_text_that_does_not_fit_is_rejected(self) -> None:
        faults = {
            "unknown target": TEXT.replace("opened}", "ajar}"),
            "unknown event": TEXT.replace("{open:", "{kick:"),
            "unknown initial": TEXT.replace("initial: closed", "initial: x"),
            "missing state": TEXT.replace("opened: {close: closed}", ""),
            "unused event": TEXT.replace("{close: closed}", "{}"),
            "unknown key": TEXT + "final: closed\n",
            "empty": "",
        }
        for fault, text in faults.items():
            with self.subTest(fault), self.assertRaises(charts.ChartError):
                charts.parse(text, Door, Push)
