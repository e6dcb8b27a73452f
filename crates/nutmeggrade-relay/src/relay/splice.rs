//! Takes a stream up again at another endpoint.

use nutmeggrade_core::routing::RouteKind;
use nutmeggrade_wire::request::ResumeFrom;

use super::escape::Moved;
use super::exchange::{Answer, Extra, exchange};
use super::place::{self, Place};
use super::stream::Stream;
use super::upstream::Upstream;

/// Goes on with a generation whose memory was copied.
pub async fn go_on(stream: &mut Stream, moved: Moved) -> Option<(Upstream, Place)> {
    let resume = ResumeFrom { address: moved.source, handle: moved.handle };
    let extra = Extra { position: stream.splitter.position(), resume: Some(resume) };
    let Some(upstream) = open(stream, &moved.place, &extra).await else {
        stream.node.metrics.moves.with_label_values(&["lost"]).inc();
        return None;
    };
    stream.node.metrics.moves.with_label_values(&["moved"]).inc();
    tracing::info!(event = "moved", request = %stream.call.id, from = %stream.place.endpoint.id,
        to = %moved.place.endpoint.id, events = stream.splitter.passed(), made = moved.events);
    Some((upstream, moved.place))
}

/// Starts another run behind the last event, where the route allows it.
///
/// Only a resumable route's endpoints begin behind that event. Another run of a request that is merely
/// idempotent would be joined to the first one's beginning, and the client would take both for one
/// answer.
pub async fn run_again(stream: &mut Stream) -> Option<(Upstream, Place)> {
    if stream.call.route.kind != RouteKind::Resumable {
        return None;
    }
    if !stream.attempt.may_send() || !stream.node.take_resend(&stream.call.service) {
        return None;
    }
    let mut need = stream.call.need(stream.node.ticket(), &stream.node.keyless_workspace);
    need.avoid.insert(stream.place.endpoint.id.clone());
    let place = place::find(&stream.node, &stream.call, &need).await.ok()?;
    stream.attempt.send();
    let extra = Extra { position: stream.splitter.position(), resume: None };
    let upstream = open(stream, &place, &extra).await?;
    stream.attempt.answer();
    Some((upstream, place))
}

async fn open(stream: &Stream, place: &Place, extra: &Extra) -> Option<Upstream> {
    let left = stream.call.left(stream.node.now());
    let endpoint = &place.endpoint;
    match exchange(&stream.node, &stream.call, endpoint, extra, left).await {
        // A body without events behind the events that the client has would pass for their end.
        Ok(answer) if answer.is_events() => Some(answer.upstream),
        Ok(Answer { said, .. }) => {
            tracing::info!(event = "go_on_refused", request = %stream.call.id,
                endpoint = %endpoint.id, status = said.status.as_u16(), not_run = said.not_run);
            None
        }
        Err(error) => {
            tracing::info!(event = "go_on_failed", request = %stream.call.id,
                endpoint = %endpoint.id, error = %error);
            None
        }
    }
}
