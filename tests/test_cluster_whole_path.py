"""The whole path over real processes: online, batch, at-most-once, a killed node, a stop."""

import unittest

from quaymill_bench.caller import BatchLine
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_shape import APPLICATION, MODEL, ClusterShape
from quaymill_bench.journals import (
    Prompt,
    answer_text,
    finished_runs,
    result_texts,
    runs_by_key,
    tally_prompts,
)
from quaymill_bench.processes import wait_until

TIMEOUT_S = 20.0


def prompts(subject: str, count: int, max_tokens: int) -> list[Prompt]:
    return [Prompt(MODEL, f"{subject} {number}", max_tokens) for number in range(count)]


class ClusterWholePathTest(unittest.TestCase):
    """One cluster for all tests; each uses requests of its own."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = LocalCluster(ClusterShape())
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start()

    def submit(self, node, items: list[Prompt], key: str) -> str:
        lines = [
            BatchLine(f"item-{number}", "/v1/completions", item.completion_body())
            for number, item in enumerate(items)
        ]
        uploaded = node.caller.upload_batch_file(lines, f"{key}-file", TIMEOUT_S)
        self.assertEqual(uploaded.status, 200, uploaded.body)
        file_id = uploaded.json()["id"]
        created = node.caller.create_batch(file_id, "/v1/completions", f"{key}-job", TIMEOUT_S)
        self.assertEqual(created.status, 200, created.body)
        return created.json()["id"]

    def wait_for_batch(self, node, batch_id: str) -> None:
        wait_until(
            lambda: node.caller.batch(batch_id).json().get("status") == "completed",
            TIMEOUT_S,
            f"{batch_id} is completed",
        )

    def assert_each_once(self, asked: list[Prompt], texts: dict[str, str]) -> None:
        tally = tally_prompts(asked, texts, finished_runs(self.cluster.engines))
        self.assertEqual((tally.completed, tally.lost, tally.doubled), (len(asked), 0, 0))

    def test_each_online_stream_is_whole_through_every_node(self):
        asked = prompts("online", 9, 16)
        texts = {}
        for number, prompt in enumerate(asked):
            caller = self.cluster.nodes[number % 3].caller
            answer = caller.stream("/v1/completions", prompt.completion_body())
            texts[prompt.digest] = answer_text(answer)
        self.assert_each_once(asked, texts)

    def test_a_batch_resent_to_another_node_completes_each_item_once(self):
        items = prompts("draft", 30, 8)
        first, second, third = self.cluster.nodes
        batch_id = self.submit(first, items, "resent")
        self.assertEqual(self.submit(second, items, "resent"), batch_id)
        self.wait_for_batch(third, batch_id)
        content = third.caller.file_content(f"output-{batch_id}").body
        by_id = {f"item-{number}": item for number, item in enumerate(items)}
        self.assert_each_once(items, result_texts(content, by_id))

    def test_a_call_resent_to_every_node_runs_once_and_gives_one_answer(self):
        headers = {"Idempotency-Key": "declaration-1"}
        answers = [
            node.caller.post_json(f"/services/{APPLICATION}/submit", {"year": 2026}, headers)
            for node in self.cluster.nodes
        ]
        self.assertEqual([answer.status for answer in answers], [200, 200, 200])
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(runs_by_key(self.cluster.applications)["declaration-1"], 1)

    def test_an_acknowledged_batch_survives_the_kill_of_its_node_and_of_its_disk(self):
        items = prompts("kept", 40, 16)
        node, *others = self.cluster.nodes
        batch_id = self.submit(node, items, "kept")
        node.process.kill()
        node.wipe_data()
        self.wait_for_batch(others[0], batch_id)
        content = others[1].caller.file_content(f"output-{batch_id}").body
        by_id = {f"item-{number}": item for number, item in enumerate(items)}
        texts = result_texts(content, by_id)
        self.assertEqual(texts, {item.digest: item.expected for item in items})
        node.process.start()
        self.cluster.wait_for_node(node)


class ClusterStopTest(unittest.TestCase):
    """The ordered stop of a whole cluster."""

    def test_every_process_stops_in_order_with_exit_code_0(self):
        with LocalCluster(ClusterShape()) as cluster:
            codes = [*cluster.stop_nodes_in_order(), *cluster.stop_stand_ins()]
        self.assertEqual(set(codes), {0})
