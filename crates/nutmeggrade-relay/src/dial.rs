//! Connections to endpoints.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Waits before each further try to connect while the earlier ones go on. A connection stands after
/// a few milliseconds; where a packet of its opening is lost, the kernel repeats it only after a
/// second, which is longer than a plain call may take in all.
const TRIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(60), Duration::from_millis(250)];
/// Longest time to connect; an endpoint that does not accept for so long is not there.
const LONGEST: Duration = Duration::from_secs(1);
/// Silence after which the kernel asks whether the other side is still there, and the time between
/// its questions. A connection that has gone silent for good shows no other way while an answer is
/// awaited.
const PROBE: Duration = Duration::from_secs(1);
/// Questions without a reply after which the connection counts as broken.
const PROBES: u32 = 3;
/// Longest time that sent bytes stay without the other side's word that they arrived.
const UNSEEN: Duration = Duration::from_secs(3);

/// Connects to an endpoint; the first of a few tries that stands is taken.
///
/// # Errors
///
/// Fails if every try was refused, or none stood in time. Nothing has been sent then.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let mut tries: FuturesUnordered<_> = TRIES
        .iter()
        .map(|wait| async move {
            sleep(*wait).await;
            TcpStream::connect(address).await
        })
        .collect();
    let first = async {
        // A refusal is an answer; only silence is worth another try.
        tries.next().await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    };
    let stream = timeout(LONGEST, first).await??;
    guard(&stream)?;
    Ok(stream)
}

/// Makes a silent connection end in an error.
///
/// # Errors
///
/// Fails if the kernel refuses an option.
pub fn guard(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probing = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&probing)?;
    socket.set_tcp_user_timeout(Some(UNSEEN))
}
