"""Builds a gateway that uses the platform's protocols."""

from __future__ import annotations

from quaymill.connection.endpoint import Endpoint
from quaymill.platform import caller_calls, configuration, names, replica_calls
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.process.control.state import ControlProtocol
from quaymill.process.gateway_node import GatewayFeatures, GatewayNode, GatewayProtocol
from quaymill.process.jobs.engine_loads import ReportProtocol
from quaymill.process.jobs.item_run import ItemProtocol
from quaymill.process.process_context import ProcessContext
from quaymill.process.serving_settings import ServingSettings
from quaymill.request.forwarding import ReplicaProtocol

METRICS_PORT = 9464

REPLICA_PROTOCOL = ReplicaProtocol(replica_calls.build_request, replica_calls.read_answer_head)
GATEWAY_PROTOCOL = GatewayProtocol(
    callers=caller_calls.CALLER_PROTOCOL,
    replicas=REPLICA_PROTOCOL,
    reports=ReportProtocol(
        replica_calls.report_request,
        replica_calls.read_report,
        replica_calls.read_cold_left,
        replica_calls.answers_request,
    ),
    items=ItemProtocol(REPLICA_PROTOCOL, caller_calls.item_headers, caller_calls.item_prompt),
    control=ControlProtocol(
        names.CONFIGURATION_NAME,
        names.ROUTES_KEY,
        configuration.decode_configuration,
        configuration.decode_replica,
    ),
    ready_path=names.READY_PATH,
)


def build_gateway(settings: ServingSettings, context: ProcessContext) -> GatewayNode:
    """Build a gateway node without starting it."""
    store = PlatformObjectStore(settings.store_endpoint)
    metrics = Endpoint(settings.address, METRICS_PORT)
    features = GatewayFeatures(names.PRESSURE in settings.contract_names)
    return GatewayNode(
        settings, store, GATEWAY_PROTOCOL, metrics, lambda: store.calls, context, features
    )
