"""Steps between versions of the configuration: differences, encoding, and who receives which."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from nose2.tools import params

from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.control.active_configuration import ActiveConfiguration
from quaymill.process.control.configuration_compiler import ConfigurationCompiler
from quaymill.process.control.configuration_steps import (
    ConfigurationStep,
    EncodedStep,
    InvalidStep,
    decode_step,
    encode_step,
)
from quaymill.version.document_change import DocumentChange, apply_change, difference
from quaymill.version.request_routes import RequestRoutes
from quaymill_bench.fleet_world import ROUTES, configuration, route

ADDED = route("added", "/added/", "idempotent")
ENTRIES = st.lists(
    st.fixed_dictionaries({"name": st.sampled_from("abcdef"), "value": st.integers(0, 2)}),
    max_size=6,
)
VALUES = st.one_of(st.integers(0, 2), st.lists(st.integers(0, 2), max_size=2), ENTRIES)
DOCUMENTS = st.dictionaries(st.sampled_from(["routes", "services", "limits"]), VALUES)


class DifferenceTest(unittest.TestCase):
    """A change turns one document into the other, and holds only what differs."""

    @settings(deadline=None, database=None, suppress_health_check=[HealthCheck.too_slow])
    @given(DOCUMENTS, DOCUMENTS)
    def test_change_leads_from_any_document_to_any_other(self, old, new) -> None:
        change = msgspec.json.decode(msgspec.json.encode(difference(old, new)), type=DocumentChange)
        self.assertEqual(new, apply_change(old, change))

    def test_changed_entry_alone_is_in_the_change(self) -> None:
        old = configuration(1)
        changed = ROUTES[0] | {"timeout_ms": 1}
        change = difference(old, configuration(2, (changed, *ROUTES[1:])))
        self.assertEqual({"version": 2}, change.values)
        self.assertEqual({"routes"}, set(change.lists))
        self.assertEqual((changed,), change.lists["routes"].put)

    def test_unchanged_entries_are_shared(self) -> None:
        old = configuration(1)
        new = apply_change(old, difference(old, configuration(2, (*ROUTES, ADDED))))
        for before, after in zip(old["routes"], new["routes"], strict=False):
            self.assertIs(before, after)

    def test_change_that_does_not_fit_is_rejected(self) -> None:
        old = configuration(1)
        change = difference(old, configuration(2, (*ROUTES, ADDED)))
        with self.assertRaises(ValueError):
            apply_change({"routes": 3}, change)


class ActiveConfigurationTest(unittest.TestCase):
    """Documents and steps that come into force, and those that do not."""

    def setUp(self) -> None:
        self.decoded: list[int] = []
        self.active = self._new()
        self.versions: list[int] = []
        self.active.subscribe(lambda routes: self.versions.append(routes.version))

    def _new(self) -> ActiveConfiguration:
        control = GATEWAY_PROTOCOL.control
        return ActiveConfiguration(ConfigurationCompiler(self._read, control.routes_key))

    def _read(self, document: Any) -> RequestRoutes | Any:
        if isinstance(document, dict) and isinstance(document.get("routes"), list):
            self.decoded.append(len(document["routes"]))
        return GATEWAY_PROTOCOL.control.read_configuration(document)

    def offer(self, version: int, *added: dict[str, Any]) -> bool:
        return self.active.offer_document(configuration(version, ROUTES + added), "store", 0.0)

    def test_only_changed_routes_are_decoded(self) -> None:
        self.offer(1)
        self.offer(2, ADDED)
        self.assertEqual([len(ROUTES), 1], self.decoded)
        self.assertEqual("added", self.active.routes.find(ADDED["host"], "/added/x").name)
        self.assertEqual(len(ROUTES) + 1, len(self.active.routes.routes))

    def test_result_is_that_of_decoding_the_whole_document(self) -> None:
        self.offer(1, ADDED)
        changed = (ROUTES[0] | {"timeout_ms": 1}, *ROUTES[2:], ADDED)
        document = configuration(2, changed)
        self.active.offer_document(document, "store", 0.0)
        whole = GATEWAY_PROTOCOL.control.read_configuration(document)
        self.assertEqual(whole, self.active.routes)

    def test_older_and_invalid_documents_change_nothing(self) -> None:
        self.offer(5)
        self.assertFalse(self.offer(4, ADDED))
        self.assertFalse(self.offer(5, ADDED))
        for document in (
            None,
            3,
            [],
            {},
            {"routes": 1, "version": 9},
            configuration(9) | {"routes": [{}]},
        ):
            self.assertFalse(self.active.offer_document(document, "store", 0.0))
        self.assertEqual([5], self.versions)
        self.assertTrue(self.offer(6, ADDED))

    def test_steps_lead_another_gateway_through_every_version(self) -> None:
        other = self._new()
        reached = []
        other.subscribe(lambda routes: reached.append(routes.version))
        self.offer(1)
        while step := self.active.steps.next_after(other.routes.version):
            self.assertTrue(other.offer_step(step, "peer", 0.0))
        self.offer(2, ADDED)
        self.offer(4)
        while step := self.active.steps.next_after(other.routes.version):
            self.assertTrue(other.offer_step(step, "peer", 0.0))
        self.assertEqual([1, 2, 4], reached)
        self.assertEqual(self.active.routes, other.routes)
        # What it received it can send on, with the same bytes.
        self.assertEqual(self.active.steps.next_after(2), other.steps.next_after(2))

    def test_gateway_at_an_unknown_version_receives_the_whole_document(self) -> None:
        self.offer(1)
        self.offer(4, ADDED)
        step = self.active.steps.next_after(3)
        self.assertEqual((0, 4), (step.base_version, step.version))
        other = self._new()
        other.offer_document(configuration(3), "store", 0.0)
        self.assertTrue(other.offer_step(step, "peer", 0.0))
        self.assertEqual(self.active.routes, other.routes)

    def test_nothing_is_newer_than_the_version_in_force(self) -> None:
        self.assertIsNone(self.active.steps.next_after(0))
        self.offer(3)
        self.assertIsNone(self.active.steps.next_after(3))
        self.assertIsNone(self.active.steps.next_after(7))

    @params(b"", b"no step", b"x" * 100)
    def test_bytes_that_are_no_step_are_rejected(self, data) -> None:
        self.assertIsInstance(decode_step(data), InvalidStep)
        self.offer(1)
        self.assertFalse(self.active.offer_step(EncodedStep.of(1, 2, data), "peer", 0.0))

    def test_incomplete_step_is_rejected(self) -> None:
        whole = encode_step(ConfigurationStep(0, 1, document=configuration(1)))
        self.assertIsInstance(decode_step(whole.data[:-1]), InvalidStep)

    def test_step_from_another_version_changes_nothing(self) -> None:
        self.offer(1)
        self.offer(2, ADDED)
        step = self.active.steps.next_after(1)
        self.assertFalse(self.active.offer_step(step, "peer", 0.0))
        self.assertEqual([1, 2], self.versions)


if __name__ == "__main__":
    unittest.main()
