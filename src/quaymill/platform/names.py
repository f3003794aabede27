"""The platform's names of headers, paths, object kinds and field values."""

from __future__ import annotations

from quaymill.connection.object_store import ObjectKind
from quaymill.version.request_routes import RouteKind

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
EXPECT_INSTANCE = "Expect-Instance"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
LOAD = "Server-Load"
COLD_MS = "Cold-Ms"
NOT_EXECUTED = "Not-Executed"
PROMPT_PREFIX = "Prompt-Prefix"
MODEL = "Model"
TOKEN_COUNT = "Token-Count"
WAIT_MS = "Wait-Ms"
TENANT = "Tenant"
AUTHORIZATION = "Authorization"

READY_PATH = "/v1/ready"
REPORT_PATH = "/v1/report"
JOBS_PATH = "/v1/lots/"
ITEM_BODIES_PATH = "/v1/items/"
OBJECTS_PATH = "/v1/objects/"

CONFIGURATION_NAME = "main"
ROUTES_KEY = "routes"

KIND_NAMES = {
    ObjectKind.CONFIGURATION: "config",
    ObjectKind.REPLICAS: "servers",
    ObjectKind.RETIREMENTS: "retirements",
    ObjectKind.NODES: "quaymill-nodes",
    ObjectKind.JOB_LISTINGS: "quaymill-job-listings",
    ObjectKind.QUOTA_LEDGERS: "quaymill-quota-ledgers",
    ObjectKind.BARRED_REQUESTS: "quaymill-barred-requests",
    ObjectKind.EVACUATIONS: "evacuations",
    ObjectKind.DEPARTURES: "quaymill-departures",
}

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
    "batch": RouteKind.BATCH,
}

REPLICA_DRAINING = "draining"
RETIREMENT_ACTIVE = "active"
RETIREMENT_SUCCEEDED = "succeeded"
ITEM_SUCCEEDED = "succeeded"
ITEM_DEAD = "dead_letter"
PRESSURE = "pressure"
