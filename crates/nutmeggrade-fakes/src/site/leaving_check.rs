//! Checks that an endpoint that says in its responses that it leaves gets no new requests.

use std::time::Duration;

use tokio::time::Instant;

use super::endpoint::Endpoint;

/// Time after an instance has passed on a response with the statement until its clients' new
/// requests must go elsewhere.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Checks that no instance that passed on the endpoint's statement still sends it clients' new
/// requests; describes the first violation.
///
/// `sender_of` returns the instance that a client sent a request to, and when, and `is_excused`
/// whether that instance was restarted or frozen in a period.
pub fn find_leaving_violation(
    endpoint: &Endpoint,
    sender_of: impl Fn(&str) -> Option<(usize, Instant)>,
    is_excused: impl Fn(usize, Instant, Instant) -> bool,
) -> Option<String> {
    let received = endpoint.seen();
    let responses = endpoint.notices().responses().to_vec();
    responses.iter().filter(|response| response.leaving).find_map(|response| {
        let (instance, _) = sender_of(&response.id)?;
        let is_late = |id: &str, at: Instant| {
            sender_of(id).is_some_and(|(sender, sent_at)| {
                sender == instance
                    && sent_at > response.at + DRAIN_TIME
                    && !is_excused(instance, response.at, at)
            })
        };
        let late = received.iter().find(|r| !r.is_misdirected && is_late(r.id(), r.at))?;
        Some(format!(
            "{} reached {} from instance {instance}, {:?} after its statement that it leaves",
            late.id(),
            endpoint.id(),
            late.at - response.at
        ))
    })
}
