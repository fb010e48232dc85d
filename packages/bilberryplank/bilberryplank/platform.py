"""HTTP clients of the platform's services."""

from bilberryplank._hosts_http import HttpHostList
from bilberryplank._object_http import HttpObjectStore
from bilberryplank._orders_http import HttpUpstreamOrders
from bilberryplank._platform import Platform
from bilberryplank._reports_http import HttpUsageReports
from bilberryplank._table_http import HttpTable

__all__ = [
    "HttpHostList",
    "HttpObjectStore",
    "HttpTable",
    "HttpUpstreamOrders",
    "HttpUsageReports",
    "Platform",
]
