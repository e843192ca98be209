"""Tests of the chart loader."""

import enum
import unittest

from godwitnotch.core import charts


class DoorState(enum.Enum):
    CLOSED = "closed"
    OPENED = "opened"


class DoorEvent(enum.Enum):
    OPEN = "open"
    CLOSE = "close"


TEXT = """
name = "door"
initial = "closed"
[states]
closed = {open = "opened"}
opened = {close = "closed"}
"""


class ChartsTest(unittest.TestCase):
    def test_transitions_follow_the_text(self) -> None:
        chart = charts.parse(TEXT, DoorState, DoorEvent)
        self.assertEqual(chart.initial, DoorState.CLOSED)
        self.assertEqual(
            chart.next(DoorState.CLOSED, DoorEvent.OPEN), DoorState.OPENED
        )
        self.assertEqual(
            chart.next(DoorState.OPENED, DoorEvent.CLOSE), DoorState.CLOSED
        )

    def test_an_undefined_transition_names_the_remedy(self) -> None:
        chart = charts.parse(TEXT, DoorState, DoorEvent)
        self.assertFalse(chart.accepts(DoorState.CLOSED, DoorEvent.CLOSE))
        with self.assertRaises(charts.UndefinedTransitionError) as caught:
            chart.next(DoorState.CLOSED, DoorEvent.CLOSE)
        self.assertEqual(caught.exception.event, "close")
        self.assertIn("core/charts/door.toml", str(caught.exception))

    def test_an_inconsistent_chart_is_rejected(self) -> None:
        faults = {
            "unknown target": TEXT.replace('"opened"}', '"ajar"}'),
            "unknown event": TEXT.replace("{open =", "{kick ="),
            "unknown initial": TEXT.replace(
                'initial = "closed"', 'initial = "x"'
            ),
            "missing state": TEXT.replace('opened = {close = "closed"}', ""),
            "unused event": TEXT.replace('{close = "closed"}', "{}"),
            "unknown key": 'final = "closed"' + TEXT,
            "empty": "",
            "no TOML": TEXT.replace("[states]", "[states"),
        }
        for fault, text in faults.items():
            with self.subTest(fault), self.assertRaises(charts.ChartError):
                charts.parse(text, DoorState, DoorEvent)
