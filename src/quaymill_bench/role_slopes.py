"""The slopes of all roles, as far as they were measured."""

from __future__ import annotations

import msgspec

from quaymill_bench.role_configuration import ConfigurationSlopes
from quaymill_bench.role_gateway import GatewaySlopes
from quaymill_bench.role_limits import LimitSlopes
from quaymill_bench.role_load_reports import LoadReportSlopes
from quaymill_bench.role_log import LogSlopes
from quaymill_bench.role_scheduler import SchedulerSlopes


class RoleSlopes(msgspec.Struct, kw_only=True):
    """Slopes of all parts measured so far."""

    configuration: ConfigurationSlopes | None = None
    limits: LimitSlopes | None = None
    load_reports: LoadReportSlopes | None = None
    log: LogSlopes | None = None
    gateway: GatewaySlopes | None = None
    scheduler: SchedulerSlopes | None = None
