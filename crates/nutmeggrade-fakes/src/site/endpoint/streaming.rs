//! Event streams of a simulated endpoint.

use std::ops::RangeInclusive;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{Endpoint, send};
use crate::site::event_writer::{EventWriter, event_text};
use crate::site::stream_end::StreamEnd;

impl Endpoint {
    /// Streams the events behind `position` with a pause before each, until they are complete or
    /// the generation is stopped.
    pub(super) async fn send_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        position: u64,
        events: u64,
        pause: Duration,
    ) -> anyhow::Result<()> {
        let is_chunked = !self.state().ends_with_connection;
        let mut writer = self.start_stream(stream, id, is_chunked).await?;
        let label = self.event_label(id);
        let mut stopped = self.generations.start(self.advertised_address(), id, events);
        // A crash closes the listener and the streams in the same moment.
        let mut listens = self.listens.subscribe();
        for event in position + 1..=events {
            let next_event = async {
                sleep(pause).await;
                self.until_heard().await;
            };
            tokio::select! {
                () = next_event => {}
                _ = listens.wait_for(|listens| !listens) => return reset(writer.connection()),
                _ = stopped.wait_for(|s| *s) => {
                    self.generations.remove(self.advertised_address(), id);
                    anyhow::ensure!(self.state().finishes_at_stop, "stopped");
                    break;
                }
            }
            writer.send_event(&label, event).await?;
            self.generations.set_events(self.advertised_address(), id, event);
        }
        self.generations.remove(self.advertised_address(), id);
        writer.finish().await
    }

    /// Streams events, resets the connection within the next one.
    pub(super) async fn send_cut_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        position: u64,
        events: u64,
    ) -> anyhow::Result<()> {
        let mut writer = self.start_stream(stream, id, true).await?;
        let label = self.event_label(id);
        for event in position + 1..=events {
            writer.send_event(&label, event).await?;
        }
        writer.send_text("id: 77\nda").await?;
        sleep(Duration::from_millis(50)).await;
        reset(writer.connection())
    }

    /// Streams events and `rest`, and ends the stream.
    pub(super) async fn send_stream_part(
        &self,
        stream: &mut TcpStream,
        id: &str,
        position: u64,
        (events, rest): (u64, &str),
        end: StreamEnd,
    ) -> anyhow::Result<()> {
        if end == StreamEnd::Length {
            self.holds_ends.subscribe().wait_for(|holds| !holds).await?;
            return self.send_declared_stream(stream, id, position + 1..=events, rest).await;
        }
        let mut writer = self.start_stream(stream, id, end.is_chunked()).await?;
        let label = self.event_label(id);
        for event in position + 1..=events {
            writer.send_event(&label, event).await?;
        }
        writer.send_text(rest).await?;
        // The bytes reach the instance before a reset would discard them.
        sleep(Duration::from_millis(50)).await;
        self.holds_ends.subscribe().wait_for(|holds| !holds).await?;
        match end {
            StreamEnd::LastChunk | StreamEnd::Length => writer.finish().await,
            StreamEnd::Closed => anyhow::bail!("closed"),
            StreamEnd::Reset => reset(writer.connection()),
            StreamEnd::Crashed => self.crash().await,
        }
    }

    async fn send_declared_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        events: RangeInclusive<u64>,
        rest: &str,
    ) -> anyhow::Result<()> {
        let label = self.event_label(id);
        let mut body: String = events.map(|event| event_text(&label, event)).collect();
        body.push_str(rest);
        let headers =
            format!("Content-Type: text/event-stream\r\nContent-Length: {}\r\n", body.len());
        send(stream, &self.response(200, id, &headers, &body)).await
    }

    /// Returns what the data of each event of a request begins with.
    fn event_label(&self, id: &str) -> String {
        self.state().version.as_ref().map_or_else(|| id.to_owned(), |v| format!("{v}/{id}"))
    }

    pub(super) async fn start_stream<'a>(
        &self,
        stream: &'a mut TcpStream,
        id: &str,
        is_chunked: bool,
    ) -> anyhow::Result<EventWriter<'a>> {
        let mut writer = EventWriter::new(stream, is_chunked);
        let head = self.response(200, id, writer.headers(), "");
        writer.send_head(&head).await?;
        Ok(writer)
    }
}

/// Resets a connection, so that the peer sees an error rather than an orderly close.
pub(super) fn reset(stream: &TcpStream) -> anyhow::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    anyhow::bail!("reset")
}
