//! Change of an endpoint's state around the time at which it lost a request.

use std::time::Duration;

use super::{InstanceLogs, Record};

/// How long before the loss of a request its endpoint may have announced its departure. The notice
/// period is about two seconds, and some endpoints stay for longer.
const LEAVE_WINDOW: Duration = Duration::from_secs(8);
/// How long after the loss a crash may be detected: three heartbeats of the endpoint.
const CRASH_WINDOW: Duration = Duration::from_secs(4);

/// Change of an endpoint's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
    /// It announced its departure or was removed before the request was lost.
    Left,
    /// Its address refused connections, or its registration lapsed.
    Crashed,
    /// No log line reports a change.
    Unchanged,
}

impl EndpointChange {
    /// Determines the change from the lines of all instances, and returns the line that reports it.
    pub fn find<'a>(
        logs: &'a InstanceLogs,
        endpoint: &str,
        lost_at: Duration,
    ) -> (Self, Option<&'a Record>) {
        let around =
            logs.lines_between(lost_at.saturating_sub(LEAVE_WINDOW), lost_at + CRASH_WINDOW);
        let mut endpoint_lines = around.into_iter().filter(|r| r.is_of_endpoint(endpoint));
        let decisive = endpoint_lines.find_map(|record| match record.event.as_str() {
            "endpoint_crashed" | "endpoint_gone" => Some((Self::Crashed, record)),
            "endpoint_left" if record.at <= lost_at => Some((Self::Left, record)),
            // A later removal without an announced departure means that the registration lapsed.
            "endpoint_left" if record.field("why") == "Removed" => Some((Self::Crashed, record)),
            _ => None,
        });
        decisive.map_or((Self::Unchanged, None), |(change, record)| (change, Some(record)))
    }
}
