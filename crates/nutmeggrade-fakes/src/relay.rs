//! A TCP proxy between two processes that injects link failures.

mod listener;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use listener::ProxyListener;

const BUFFER_BYTES: usize = 16 << 10;

/// Behaviour of a proxied link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Forwards all bytes.
    Open,
    /// Keeps connections open and forwards nothing in either direction.
    Stalled,
    /// Keeps connections open, forwards requests and holds back responses.
    OneWay,
    /// Forwards all bytes after a delay.
    Delayed(Duration),
    /// Resets open and new connections at once.
    Reset,
    /// Refuses new connections; open ones are forwarded.
    Refused,
    /// Resets open connections and refuses new ones.
    Unreachable,
    /// Answers no new connection, like a machine that is cut off, and forwards nothing on open ones.
    Unanswered,
    /// Closes each connection after this many request bytes.
    CutRequest(u64),
    /// Resets each connection after this many response bytes.
    CutAnswer(u64),
    /// Closes open and new connections at once.
    Closed,
}

/// Forwards connections to one address, with failures that can be set at run time.
#[derive(Debug)]
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    forwarded_bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free loopback port and forwards connections to `target`.
    pub fn start(target: SocketAddr) -> anyhow::Result<Self> {
        let listener = ProxyListener::bind()?;
        let address = listener.address;
        let link = watch::Sender::new(Link::Open);
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let task =
            tokio::spawn(listener.run(target, link.subscribe(), Arc::clone(&forwarded_bytes)));
        Ok(Self { address, link, forwarded_bytes, task })
    }

    /// Sets the behaviour of open and new connections.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Returns the number of bytes forwarded in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        self.link.send_replace(Link::Closed);
    }
}

async fn proxy_connection(
    downstream: TcpStream,
    target: SocketAddr,
    link: watch::Receiver<Link>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    match *link.borrow() {
        Link::Closed => return,
        Link::Reset => return reset(&downstream),
        _ => {}
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    drop(downstream.set_nodelay(true));
    drop(upstream.set_nodelay(true));
    let (request_in, response_out) = downstream.into_split();
    let (response_in, request_out) = upstream.into_split();
    let requests = copy_bytes(
        request_in,
        request_out,
        link.clone(),
        Arc::clone(&forwarded_bytes),
        request_action,
    );
    let responses = copy_bytes(response_in, response_out, link, forwarded_bytes, response_action);
    tokio::pin!(requests, responses);
    // Aborting either direction ends both; after a half-close the other direction continues.
    let both = async {
        tokio::select! {
            ended = &mut requests => if ended == CopyEnd::HalfClosed { responses.await; },
            ended = &mut responses => if ended == CopyEnd::HalfClosed { requests.await; },
        }
    };
    both.await;
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Fails only on a connection that is already gone.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// Ends the connection with a reset; a dropped write half would close it regularly.
fn reset_half(half: OwnedWriteHalf) {
    reset(half.as_ref());
    half.forget();
}

/// Treatment of the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    /// Forward them after this delay.
    Forward(Duration),
    /// Hold them back.
    Pause,
    /// Forward this many bytes, then close the connection.
    CloseAfter(u64),
    /// Forward this many bytes, then reset the connection: a regular close would complete a
    /// response without a length.
    ResetAfter(u64),
    /// Reset the connection.
    Reset,
}

fn request_action(link: Link) -> Action {
    match link {
        Link::CutRequest(n) => Action::CloseAfter(n),
        other => common_action(other),
    }
}

fn response_action(link: Link) -> Action {
    match link {
        Link::CutAnswer(n) => Action::ResetAfter(n),
        Link::OneWay => Action::Pause,
        other => common_action(other),
    }
}

fn common_action(link: Link) -> Action {
    match link {
        Link::Open | Link::OneWay | Link::Refused | Link::CutRequest(_) | Link::CutAnswer(_) => {
            Action::Forward(Duration::ZERO)
        }
        Link::Delayed(time) => Action::Forward(time),
        Link::Stalled | Link::Unanswered => Action::Pause,
        Link::Closed => Action::CloseAfter(0),
        Link::Reset | Link::Unreachable => Action::Reset,
    }
}

#[derive(Debug, PartialEq, Eq)]
enum CopyEnd {
    HalfClosed,
    Aborted,
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    forwarded_bytes: Arc<AtomicU64>,
    action_of: fn(Link) -> Action,
) -> CopyEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded = 0;
    loop {
        let action = action_of(*link.borrow_and_update());
        let read = match action {
            Action::CloseAfter(0) | Action::ResetAfter(0) => return CopyEnd::Aborted,
            Action::Reset => {
                reset(from.as_ref());
                reset_half(to);
                return CopyEnd::Aborted;
            }
            Action::Pause => {
                if link.changed().await.is_err() {
                    return CopyEnd::Aborted;
                }
                continue;
            }
            Action::Forward(_) | Action::CloseAfter(_) | Action::ResetAfter(_) => tokio::select! {
                read = from.read(&mut buffer) => read,
                changed = link.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return CopyEnd::Aborted,
                },
            },
        };
        let read = match read {
            Ok(0) => {
                drop(to.shutdown().await);
                return CopyEnd::HalfClosed;
            }
            Ok(read) => read,
            // Passes a reset on, since a regular close would complete a response without a length.
            Err(_) => {
                reset_half(to);
                return CopyEnd::Aborted;
            }
        };
        if let Action::Forward(time) = action
            && !time.is_zero()
        {
            sleep(time).await;
        }
        let remaining = match action {
            Action::CloseAfter(n) | Action::ResetAfter(n) => Some(n.saturating_sub(forwarded)),
            _ => None,
        };
        let length = remaining.map_or(read, |n| read.min(usize::try_from(n).unwrap_or(read)));
        if to.write_all(&buffer[..length]).await.is_err() {
            return CopyEnd::Aborted;
        }
        forwarded += length as u64;
        forwarded_bytes.fetch_add(length as u64, Ordering::Relaxed);
        if remaining.is_some_and(|n| n <= read as u64) {
            if matches!(action, Action::ResetAfter(_)) {
                reset_half(to);
            }
            return CopyEnd::Aborted;
        }
    }
}
