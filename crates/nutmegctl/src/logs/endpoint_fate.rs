//! What became of an endpoint around the time at which a request was lost there.

use std::time::Duration;

use super::{LogBook, Record};

/// How long before a request's end an endpoint may have said that it leaves: its notice is about two
/// seconds, and some stay for longer.
const BEFORE: Duration = Duration::from_secs(8);
/// How long after it others may first see that it died: three of its heartbeats.
const AFTER: Duration = Duration::from_secs(4);

/// What became of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFate {
    /// It said that it leaves, or its entry was taken out, before the request was lost.
    Left,
    /// Nobody listened at its address any more.
    Died,
    /// No line tells of a change.
    Stayed,
}

impl EndpointFate {
    /// Finds out from the lines of all instances, with the line that tells.
    pub fn find<'a>(
        book: &'a LogBook,
        endpoint: &str,
        lost: Duration,
    ) -> (Self, Option<&'a Record>) {
        let around = book.within(lost.saturating_sub(BEFORE), lost + AFTER);
        let mut own = around.into_iter().filter(|r| r.is_of_endpoint(endpoint));
        let telling = own.find_map(|record| match record.event.as_str() {
            "endpoint_crashed" | "endpoint_gone" => Some((Self::Died, record)),
            "endpoint_left" if record.at <= lost => Some((Self::Left, record)),
            // An entry that goes afterwards without a word before it had lapsed.
            "endpoint_left" if record.field("why") == "Removed" => Some((Self::Died, record)),
            _ => None,
        });
        telling.map_or((Self::Stayed, None), |(fate, record)| (fate, Some(record)))
    }
}
