//! A TCP relay between two processes, on which links fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const CHUNK: usize = 16 << 10;

/// What a link does with the bytes that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Hands everything on.
    Open,
    /// Keeps connections open and hands nothing on, in neither direction.
    Stalled,
    /// Hands requests on and keeps connections open, but no answer comes through.
    OneWay,
    /// Hands everything on after a while.
    Delayed(Duration),
    /// Resets connections at once, also new ones.
    Reset,
    /// Closes each connection after this many bytes of the request.
    CutRequest(u64),
    /// Closes each connection after this many bytes of the answer.
    CutAnswer(u64),
    /// Closes connections at once.
    Closed,
}

/// Hands connections on to one address, and fails as it is told.
#[derive(Debug)]
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    carried: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on a port of the system's choice and hands connections on to `target`.
    pub async fn start(target: SocketAddr) -> anyhow::Result<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await.context("bind relay")?;
        let address = socket.local_addr().context("relay address")?;
        let link = watch::Sender::new(Link::Open);
        let carried = Arc::new(AtomicU64::new(0));
        let state = (link.subscribe(), Arc::clone(&carried));
        let task = tokio::spawn(async move {
            while let Ok((inward, _)) = socket.accept().await {
                let (link, carried) = (state.0.clone(), Arc::clone(&state.1));
                tokio::spawn(carry(inward, target, link, carried));
            }
        });
        Ok(Self { address, link, carried, task })
    }

    /// Sets what the link does from now on, with open connections too.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Returns the bytes handed on so far, both ways.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        self.link.send_replace(Link::Closed);
    }
}

async fn carry(
    inward: TcpStream,
    target: SocketAddr,
    link: watch::Receiver<Link>,
    carried: Arc<AtomicU64>,
) {
    match *link.borrow() {
        Link::Closed => return,
        Link::Reset => return reset(&inward),
        _ => {}
    }
    let Ok(outward) = TcpStream::connect(target).await else { return };
    drop(inward.set_nodelay(true));
    drop(outward.set_nodelay(true));
    let (request_in, answer_out) = inward.into_split();
    let (answer_in, request_out) = outward.into_split();
    let up = pump(request_in, request_out, link.clone(), Arc::clone(&carried), request_part);
    let down = pump(answer_in, answer_out, link, carried, answer_part);
    tokio::pin!(up, down);
    // A cut in either direction ends both; a side that only closed its half lets the other go on.
    let both = async {
        tokio::select! {
            ended = &mut up => if ended == Ended::Closed { down.await; },
            ended = &mut down => if ended == Ended::Closed { up.await; },
        }
    };
    both.await;
}

/// Has a connection end by a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // A connection that is gone already needs none.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// Has a connection end by a reset, whose writing half would end it as complete when it is dropped.
fn reset_half(half: OwnedWriteHalf) {
    reset(half.as_ref());
    half.forget();
}

/// What becomes of the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// They go on after this time.
    Pass(Duration),
    /// They wait.
    Hold,
    /// So many go on, then the connection is closed.
    Cut(u64),
    /// So many go on, then the connection is reset: a plain end would complete an answer without a
    /// length.
    Break(u64),
    /// The connection is reset.
    Reset,
}

fn request_part(link: Link) -> Part {
    match link {
        Link::CutRequest(n) => Part::Cut(n),
        other => either_part(other),
    }
}

fn answer_part(link: Link) -> Part {
    match link {
        Link::CutAnswer(n) => Part::Break(n),
        Link::OneWay => Part::Hold,
        other => either_part(other),
    }
}

fn either_part(link: Link) -> Part {
    match link {
        Link::Open | Link::OneWay | Link::CutRequest(_) | Link::CutAnswer(_) => {
            Part::Pass(Duration::ZERO)
        }
        Link::Delayed(time) => Part::Pass(time),
        Link::Stalled => Part::Hold,
        Link::Closed => Part::Cut(0),
        Link::Reset => Part::Reset,
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Ended {
    Closed,
    Cut,
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    carried: Arc<AtomicU64>,
    part: fn(Link) -> Part,
) -> Ended {
    let mut buffer = vec![0; CHUNK];
    let mut passed = 0;
    loop {
        let now = part(*link.borrow_and_update());
        let read = match now {
            Part::Cut(0) | Part::Break(0) => return Ended::Cut,
            Part::Reset => {
                reset(from.as_ref());
                reset_half(to);
                return Ended::Cut;
            }
            Part::Hold => {
                if link.changed().await.is_err() {
                    return Ended::Cut;
                }
                continue;
            }
            Part::Pass(_) | Part::Cut(_) | Part::Break(_) => tokio::select! {
                read = from.read(&mut buffer) => read,
                changed = link.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return Ended::Cut,
                },
            },
        };
        let read = match read {
            Ok(0) => {
                drop(to.shutdown().await);
                return Ended::Closed;
            }
            Ok(read) => read,
            // A reset goes on as one: as a plain end it would complete an answer without a length.
            Err(_) => {
                reset_half(to);
                return Ended::Cut;
            }
        };
        if let Part::Pass(time) = now
            && !time.is_zero()
        {
            sleep(time).await;
        }
        let left = match now {
            Part::Cut(n) | Part::Break(n) => Some(n.saturating_sub(passed)),
            _ => None,
        };
        let part = left.map_or(read, |n| read.min(usize::try_from(n).unwrap_or(read)));
        if to.write_all(&buffer[..part]).await.is_err() {
            return Ended::Cut;
        }
        passed += part as u64;
        carried.fetch_add(part as u64, Ordering::Relaxed);
        if left.is_some_and(|n| n <= read as u64) {
            if matches!(now, Part::Break(_)) {
                reset_half(to);
            }
            return Ended::Cut;
        }
    }
}
