"""The `ops` listener: HTTP/1.1 for operators and scrapers, beside the platform's front.

`GET /api/ready` answers 200 while the process serves and 503 before and after; `GET /api/telemetry`
returns the metrics in the Prometheus text exposition format (version 0.0.4). One request per connection.
The listener does not depend on the platform's protocols: it reads a `Status` that the front provides.
Imported only where `ops` is configured."""

from harepick.ops.exposition import Status, Telemetry, exposition
from harepick.ops.listener import OpsListener

__all__ = ["OpsListener", "Status", "Telemetry", "exposition"]
