//! Connections to endpoints.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use nutmeggrade_platform::connect_bounded;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Delays of the connection attempts, which run concurrently. Connecting takes a few milliseconds;
/// if a packet of the handshake is lost, the kernel retransmits it only after a second, which is
/// longer than a plain call may take in total.
const ATTEMPT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(60), Duration::from_millis(250)];
/// Timeout of all attempts together; an endpoint that doesn't accept within it counts as
/// unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which the kernel sends a keepalive probe, and the interval between probes. While
/// a response is awaited, nothing else detects a half-open connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection counts as broken: 3 s after the peer last
/// answered.
const KEEPALIVE_RETRIES: u32 = 2;

/// Connects to an endpoint with several attempts, of which the first to complete is used.
///
/// # Errors
///
/// Fails if the first attempt to complete was refused, or none completed in time. Nothing has been
/// sent then.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts: FuturesUnordered<_> = ATTEMPT_DELAYS
        .iter()
        .map(|wait| async move {
            sleep(*wait).await;
            connect_bounded(address).await
        })
        .collect();
    let first = async {
        // A refused connection ends all attempts; the later ones only cover lost packets.
        attempts.next().await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    };
    let stream = timeout(CONNECT_TIMEOUT, first).await??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets socket options that make a connection fail whose peer answers no probes. They hold while nothing
/// is to be sent; see [`WatchedStream`](nutmeggrade_platform::WatchedStream) for the rest.
///
/// # Errors
///
/// Fails if the kernel refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probing = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probing)
}
