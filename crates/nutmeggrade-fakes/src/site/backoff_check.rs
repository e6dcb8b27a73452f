//! Checks that instances leave an endpoint alone that asked them to.

use tokio::time::Instant;

use super::endpoint::Endpoint;
use super::notices::NOTICE_TIME;

/// Requests that may still arrive from the instance in the rest of the time.
const MAX_REQUESTS: usize = 2;

/// Checks that no instance went on sending to an endpoint that had rejected its request and asked it
/// to wait; describes the first violation.
///
/// `instance_of` returns the instance that a client sent a request to, and `is_excused` whether that
/// instance was restarted, frozen or cut off in a period.
pub fn find_backoff_violation(
    endpoint: &Endpoint,
    instance_of: impl Fn(&str) -> Option<usize>,
    is_excused: impl Fn(usize, Instant, Instant) -> bool,
) -> Option<String> {
    let received = endpoint.seen();
    let rejections = endpoint.notices().responses().to_vec();
    rejections.iter().find_map(|rejection| {
        let time = rejection.backoff?;
        let instance = instance_of(&rejection.id)?;
        let (start, end) = (rejection.at + NOTICE_TIME, rejection.at + time);
        let is_counted =
            |id: &str, at: Instant| at > start && at < end && instance_of(id) == Some(instance);
        let count = received.iter().filter(|r| is_counted(r.id(), r.at)).count();
        let is_violation = count > MAX_REQUESTS && !is_excused(instance, rejection.at, end);
        is_violation.then(|| {
            format!(
                "{} had asked instance {instance} to wait for {time:?} and got {count} requests \
                 from it",
                endpoint.id()
            )
        })
    })
}
