"""The `ops` listener: HTTP/1.1 for operators and their scrapers, beside the platform's front.

`GET /api/ready` answers 200 while the process serves and 503 before and after; `GET /api/telemetry` gives the
figures in the Prometheus text exposition format (version 0.0.4). One request a connection. The listener knows
no wire of the platform: it reads a `Status` that the front keeps. Loaded only where `ops` is configured.
"""

from harepick.ops.exposition import Status, Telemetry, exposition
from harepick.ops.listener import OpsListener

__all__ = ["OpsListener", "Status", "Telemetry", "exposition"]
