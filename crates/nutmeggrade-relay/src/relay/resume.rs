//! Resumes a stream at another endpoint.

use std::fmt;

use nutmeggrade_core::routing::{EndpointInfo, RouteKind};
use nutmeggrade_wire::request::ResumeFrom;

use super::exchange::{
    EndpointResponse, OpenConnection, SendOptions, open_connection, send_request,
};
use super::migration::MigratedGeneration;
use super::reservation::{self, Reservation};
use super::shutdown;
use super::stream::EventStream;
use super::upstream::UpstreamBody;

/// Resumes a migrated generation at the engine that holds its copy.
pub async fn resume_copy(
    stream: &mut EventStream,
    generation: MigratedGeneration,
) -> Option<(UpstreamBody, Reservation)> {
    let resume = ResumeFrom { address: generation.source, handle: generation.handle };
    let position = stream.splitter.position();
    let options = SendOptions { position, resume: Some(resume), ..SendOptions::default() };
    let Some(upstream) = open(stream, &generation.reservation, options).await else {
        stream.node.metrics.moves.with_label_values(&["lost"]).inc();
        return None;
    };
    stream.node.metrics.moves.with_label_values(&["moved"]).inc();
    tracing::info!(event = "moved", request = %stream.request.id,
        from = %stream.reservation.endpoint.id, to = %generation.reservation.endpoint.id,
        from_version = stream.reservation.endpoint.version_name(),
        to_version = generation.reservation.endpoint.version_name(),
        events = stream.splitter.passed(), made = generation.events);
    Some((upstream, generation.reservation))
}

/// Runs the request again from the last forwarded event, on routes that allow it.
///
/// Only endpoints of the version that began the stream are used: what two versions write doesn't fit
/// together. Only those of a resumable route start after that event. A second run of a request that is
/// merely idempotent would be appended to the start of the first one, and the client would take
/// both for one response.
pub async fn run_again(stream: &mut EventStream) -> Option<(UpstreamBody, Reservation)> {
    if stream.request.route.kind != RouteKind::Resumable {
        return None;
    }
    // A second run that the end of this instance cuts helps nobody; the client can resume elsewhere now.
    if shutdown::check_request(&stream.node, &stream.request).is_err() {
        return None;
    }
    if !stream.attempt.may_send() || !stream.node.take_resend(&stream.request.service) {
        return None;
    }
    let mut dispatch_request =
        stream.request.dispatch_request(stream.node.ticket(), &stream.node.keyless_workspace);
    dispatch_request.avoid.insert(stream.reservation.endpoint.id.clone());
    dispatch_request.version.clone_from(&stream.reservation.endpoint.version);
    let ready = async {
        let reservation =
            reservation::reserve(&stream.node, &stream.request, &dispatch_request).await.ok()?;
        let connection = connect(stream, &reservation.endpoint).await?;
        Some((reservation, connection))
    };
    let (reservation, connection) = tokio::select! {
        biased;
        // The stop may begin while the request waits for room.
        _ = shutdown::until_too_late(&stream.node, &stream.request) => return None,
        ready = ready => ready?,
    };
    stream.attempt.send();
    let position = stream.splitter.position();
    let options = SendOptions { position, ..SendOptions::default() };
    let upstream = send(stream, &reservation, options, connection).await?;
    stream.attempt.begin_response();
    Some((upstream, reservation))
}

async fn open(
    stream: &EventStream,
    reservation: &Reservation,
    options: SendOptions,
) -> Option<UpstreamBody> {
    let connection = connect(stream, &reservation.endpoint).await?;
    send(stream, reservation, options, connection).await
}

async fn connect(stream: &EventStream, endpoint: &EndpointInfo) -> Option<OpenConnection> {
    open_connection(endpoint.address)
        .await
        .inspect_err(|error| log_failed(stream, endpoint, error))
        .ok()
}

async fn send(
    stream: &EventStream,
    reservation: &Reservation,
    options: SendOptions,
    connection: OpenConnection,
) -> Option<UpstreamBody> {
    let endpoint = &reservation.endpoint;
    let (node, request) = (&stream.node, &stream.request);
    match send_request(node, request, reservation, options, connection).await {
        // Appended to the events already sent, a body without events would look like their end.
        Ok(response) if response.is_event_stream() => Some(response.body),
        Ok(EndpointResponse { parsed, .. }) => {
            tracing::info!(event = "go_on_refused", request = %stream.request.id,
                endpoint = %endpoint.id, status = parsed.status.as_u16(), not_run = parsed.not_run);
            None
        }
        Err(error) => {
            log_failed(stream, endpoint, &error);
            None
        }
    }
}

fn log_failed(stream: &EventStream, endpoint: &EndpointInfo, error: &impl fmt::Display) {
    tracing::info!(event = "go_on_failed", request = %stream.request.id,
        endpoint = %endpoint.id, error = %error);
}
