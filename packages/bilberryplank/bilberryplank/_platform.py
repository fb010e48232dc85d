"""The platform's five services, bundled."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from bilberryplank._guarded_http import GuardedClient
from bilberryplank._hosts_http import HttpHostList
from bilberryplank._object_http import HttpObjectStore
from bilberryplank._orders_http import HttpUpstreamOrders
from bilberryplank._platform_http import ServiceClient
from bilberryplank._reports_http import HttpUsageReports
from bilberryplank._table_http import HttpTable
from bilberryplank_core.contracts import (
    HostList,
    ObjectStore,
    Table,
    UpstreamOrders,
    UsageReports,
)
from bilberryplank_core.settings import PlatformSettings


@dataclass(slots=True, frozen=True)
class Platform:
    """One client per service of the platform."""

    table: Table
    objects: ObjectStore
    orders: UpstreamOrders
    reports: UsageReports
    hosts: HostList

    @classmethod
    def from_settings(cls, settings: PlatformSettings, session: aiohttp.ClientSession) -> Platform:
        """Returns HTTP clients; the session stays the caller's to close."""
        timeout = settings.timeout
        return cls(
            table=HttpTable(ServiceClient(session, settings.table, timeout)),
            objects=HttpObjectStore(ServiceClient(session, settings.object_store, timeout)),
            orders=HttpUpstreamOrders(GuardedClient(settings.upstream_orders, timeout)),
            reports=HttpUsageReports(GuardedClient(settings.usage_reports, timeout)),
            hosts=HttpHostList(ServiceClient(session, settings.host_list, timeout)),
        )
