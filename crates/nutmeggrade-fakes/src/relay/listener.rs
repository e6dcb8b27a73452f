//! The socket of a proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use anyhow::Context;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::{Link, proxy_connection};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The socket of a proxy. Its port stays bound while it refuses connections, so that no other process
/// gets it.
#[derive(Debug)]
pub struct ProxyListener {
    /// Address on which it listens.
    pub address: SocketAddr,
    listener: Option<TcpListener>,
    _reserved: TcpSocket,
}

impl ProxyListener {
    /// Binds a free loopback port and listens.
    pub fn bind() -> anyhow::Result<Self> {
        let reserved = bind_shared(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr().context("relay address")?;
        let listener = Some(bind_shared(address)?.listen(BACKLOG).context("listen")?);
        Ok(Self { address, listener, _reserved: reserved })
    }

    /// Accepts connections and forwards them to `target`, as the link allows.
    pub async fn run(
        mut self,
        target: SocketAddr,
        mut link: watch::Receiver<Link>,
        forwarded_bytes: Arc<AtomicU64>,
    ) {
        loop {
            let current = *link.borrow_and_update();
            let is_running = match current {
                Link::Refused | Link::Unreachable => {
                    self.listener = None;
                    link.changed().await.is_ok()
                }
                Link::Unanswered => self.ignore_connections(&mut link).await.is_ok(),
                _ => {
                    let Ok(listener) = self.open() else { return };
                    tokio::select! {
                        accepted = listener.accept() => {
                            let Ok((downstream, _)) = accepted else { return };
                            let state = (link.clone(), Arc::clone(&forwarded_bytes));
                            tokio::spawn(proxy_connection(downstream, target, state.0, state.1));
                            true
                        }
                        changed = link.changed() => changed.is_ok(),
                    }
                }
            };
            if !is_running {
                return;
            }
        }
    }

    /// Answers no connection until the link changes. With a full queue of connections the kernel
    /// drops the packets that open others.
    async fn ignore_connections(&mut self, link: &mut watch::Receiver<Link>) -> anyhow::Result<()> {
        let address = self.address;
        let listener = self.open()?;
        SockRef::from(listener).listen(0).context("shorten the queue")?;
        let filler = TcpStream::connect(address).await;
        link.changed().await.context("link")?;
        drop(filler);
        SockRef::from(listener).listen(BACKLOG.cast_signed()).context("lengthen the queue")
    }

    fn open(&mut self) -> anyhow::Result<&TcpListener> {
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => bind_shared(self.address)?.listen(BACKLOG).context("listen")?,
        };
        Ok(self.listener.insert(listener))
    }
}

fn bind_shared(address: SocketAddr) -> anyhow::Result<TcpSocket> {
    let socket = TcpSocket::new_v4().context("open socket")?;
    socket.set_reuseport(true).context("set SO_REUSEPORT")?;
    socket.bind(address).context("bind relay")?;
    Ok(socket)
}
