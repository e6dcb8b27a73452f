//! Clients, each request on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head};

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// The status; `None` without an answer.
    pub status: Option<u16>,
    /// The signature of a server.
    pub signature: Option<String>,
    /// Whether the answer ended as HTTP says.
    pub is_whole: bool,
}

impl Reply {
    /// Returns whether the client got a server's complete success.
    pub fn is_served(&self) -> bool {
        self.is_whole && self.signature.is_some() && self.status.is_some_and(|s| s / 100 == 2)
    }

    /// Returns the status for the record.
    pub fn status_text(&self) -> String {
        self.status.map_or_else(|| "no answer".to_owned(), |s| s.to_string())
    }
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    /// Further header lines, each with its line end.
    pub headers: &'a str,
    pub timeout: Duration,
    pub body: &'a str,
}

/// Sends a request and waits for the answer up to the client's timeout.
pub fn ask(address: SocketAddr, call: &Call) -> Reply {
    exchange(address, call).unwrap_or_default()
}

fn exchange(address: SocketAddr, call: &Call) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(call.timeout)).ok()?;
    let key = call.key.map_or_else(String::new, |key| format!("X-Api-Key: {key}\r\n"));
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Nutmeggrade-Attempt-Id: {}\r\n\
         X-Nutmeggrade-Deadline-Ms: {}\r\n{key}{}Content-Length: {}\r\n\r\n{}",
        call.method,
        call.path,
        call.host,
        call.id,
        call.timeout.as_millis(),
        call.headers,
        call.body.len(),
        call.body
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let status = head.word(1).parse().ok();
    let (_, is_whole) = read_body(&mut reader, &head, true);
    let signature = head.get("x-nutmeggrade-server-signature").map(str::to_owned);
    Some(Reply { status, signature, is_whole })
}
