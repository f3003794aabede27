"""The roles on the platform: their parts, with what speaks its language, and their run."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from eliot import log_message

from quaymill.connection.endpoint import Endpoint
from quaymill.platform import caller_calls, configuration, names, replica_calls
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.process.control.state import ControlProtocol
from quaymill.process.gateway_node import GatewayNode, GatewayProtocol
from quaymill.process.jobs.engine_loads import ReportProtocol
from quaymill.process.jobs.item_run import ItemProtocol
from quaymill.process.logs import LineBudget, start_logs
from quaymill.process.serving_settings import ServingRole, ServingSettings, load_serving_settings
from quaymill.process.settings import SettingsError
from quaymill.process.stop_signal import StopSignal
from quaymill.process.storage_node import StorageNode, StorageProtocol
from quaymill.request.forwarding import ReplicaProtocol

METRICS_PORT = 9464

REPLICA_PROTOCOL = ReplicaProtocol(replica_calls.build_request, replica_calls.read_answer_head)
GATEWAY_PROTOCOL = GatewayProtocol(
    callers=caller_calls.CALLER_PROTOCOL,
    replicas=REPLICA_PROTOCOL,
    reports=ReportProtocol(replica_calls.report_request, replica_calls.read_report),
    items=ItemProtocol(REPLICA_PROTOCOL, caller_calls.item_headers),
    control=ControlProtocol(
        names.CONFIGURATION_NAME, configuration.decode_configuration, configuration.decode_replica
    ),
    ready_path=names.READY_PATH,
)
STORAGE_PROTOCOL = StorageProtocol(
    {"state": names.RETIREMENT_ACTIVE}, {"state": names.RETIREMENT_SUCCEEDED}
)


def build_node(
    role: ServingRole, settings: ServingSettings, log_lines_dropped: Callable[[], int]
) -> GatewayNode | StorageNode:
    """Return the process's parts, not started yet."""
    store = PlatformObjectStore(settings.store_endpoint)
    if role is ServingRole.JOB_STORAGE:
        return StorageNode(settings, store, STORAGE_PROTOCOL)
    metrics = Endpoint(settings.address, METRICS_PORT)
    return GatewayNode(
        settings, store, GATEWAY_PROTOCOL, metrics, lambda: store.calls, log_lines_dropped
    )


def run_role(name: str) -> int:
    """Run a role until it is told to stop; return the exit code."""
    role = ServingRole(name)
    path = Path(os.environ[names.SETTINGS_VARIABLE])
    settings = load_serving_settings(path, role)
    if isinstance(settings, SettingsError):
        print(settings, file=sys.stderr, flush=True)
        return 1
    logs = start_logs(settings.name, stream=sys.stdout.buffer, budget=LineBudget())
    stop_signal = StopSignal()
    signal.signal(signal.SIGHUP, lambda number, frame: _check_again(path, role))
    node = build_node(role, settings, lambda: logs.dropped)
    node.start()
    stop_signal.wait()
    node.stop()
    logs.stop()
    return 0


def _check_again(path: Path, role: ServingRole) -> None:
    """Read the settings again; what they change takes a restart, and that is said."""
    settings = load_serving_settings(path, role)
    problem = str(settings) if isinstance(settings, SettingsError) else ""
    log_message("node:settings_read_again", problem=problem)
