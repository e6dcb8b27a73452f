//! The connections of a crowd.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::request::CrowdRequest;

/// Longest time for which a client waits until it can connect or write on.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Receive window of a client, small so that responses which it doesn't read stay with the sender.
const WINDOW_BYTES: u32 = 4_096;

/// Clients that have sent what they send, and keep their connections open until they are dropped.
#[derive(Debug)]
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `count` clients at once and sends the request on each connection, as far as the other
    /// side takes it. The clients read nothing.
    pub async fn send(address: SocketAddr, count: usize, request: &CrowdRequest) -> Self {
        let clients = (0..count).map(|n| {
            let request = request.clone();
            tokio::spawn(async move { send(address, n, &request).await })
        });
        let connections = join_all(clients).await.into_iter().flatten().flatten().collect();
        Self { connections }
    }

    /// Returns the number of clients that could connect.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no client could connect.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

/// Sends one client's request; `{n}` in it is replaced by the client's number.
async fn send(address: SocketAddr, n: usize, request: &CrowdRequest) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(WINDOW_BYTES).ok()?;
    let mut stream = timeout(WRITE_TIMEOUT, socket.connect(address)).await.ok()?.ok()?;
    for (number, bytes) in request.writes().enumerate() {
        let bytes = if number == 0 { numbered(bytes, n) } else { bytes };
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
    }
    Some(stream)
}

fn numbered(head: Vec<u8>, n: usize) -> Vec<u8> {
    match String::from_utf8(head) {
        Ok(text) => text.replace("{n}", &n.to_string()).into_bytes(),
        Err(error) => error.into_bytes(),
    }
}
