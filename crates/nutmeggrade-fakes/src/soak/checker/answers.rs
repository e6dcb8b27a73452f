//! Checks of a single request on its way and of its response.

use crate::site::{Answer, ReceivedRequest};
use crate::soak::endpoints::EVENTS_PER_STREAM;
use crate::soak::records::RequestRecord;

/// Describes how a request was altered on its way to an endpoint, if it was.
pub(super) fn find_change(request: &RequestRecord, seen: &ReceivedRequest) -> Option<String> {
    let (method, target) = seen.message.request();
    if method != "POST" || target != format!("/{}/x", request.route) || seen.message.body != b"body"
    {
        return Some(format!("arrived as {method} {target}"));
    }
    if seen.message.header("x-api-key").is_some() {
        return Some("its API key was passed on".to_owned());
    }
    if seen.message.header("x-nutmeggrade-tenant-name") != Some("acme") {
        return Some("arrived for another workspace".to_owned());
    }
    let forged = ["x-nutmeggrade-pin-ms", "x-nutmeggrade-kv-replica"];
    if forged.iter().any(|h| seen.message.header(h) == Some("9"))
        || seen.message.header("kv-from") == Some("127.0.0.1:1/x")
    {
        return Some("arrived with headers that only the system sets".to_owned());
    }
    None
}

/// Describes what is wrong with a successful response, if anything.
pub(super) fn find_error(request: &RequestRecord, response: &Answer) -> Option<String> {
    let header = |name| response.message.header(name);
    if header("x-nutmeggrade-attempt-id") != Some(&request.id) {
        return Some("got the response to another request".to_owned());
    }
    let Some(signature) = header("x-nutmeggrade-server-signature") else {
        return Some("got a success without a signature".to_owned());
    };
    let body = String::from_utf8_lossy(&response.message.body);
    if matches!(request.route, "draft" | "sort") && header("content-type").is_some() {
        return find_event_error(request, &body, response.is_whole);
    }
    let endpoint = signature.strip_prefix("by.").unwrap_or_default();
    let expected = format!("done {} by {endpoint}", request.id);
    (response.is_whole && body != expected).then(|| format!("got the wrong body: {body:?}"))
}

/// Describes what is wrong with the events of a stream, if anything.
fn find_event_error(request: &RequestRecord, body: &str, is_whole: bool) -> Option<String> {
    let mut next = request.take_up.as_ref().map_or(1, |t| t.position + 1);
    let mut rest = body;
    while let Some((event, after)) = rest.split_once("\n\n") {
        let data = event.strip_prefix(&format!("id: {next}\ndata: ")).unwrap_or_default();
        let is_right = data
            .split_once('/')
            .is_some_and(|(_, of_request)| of_request == format!("{}.{next}", request.id));
        if !is_right {
            return Some(format!("event {next} is {event:?}"));
        }
        next += 1;
        rest = after;
    }
    if is_whole && (next != EVENTS_PER_STREAM + 1 || !rest.is_empty()) {
        return Some(format!("ended as if complete after {} events", next - 1));
    }
    None
}
