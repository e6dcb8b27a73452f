//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// The first line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header; its name is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns a part of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a head; `None` if the connection ends first.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.first.is_empty() {
            head.first = line;
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message; returns it and whether it is complete. `ends_with_connection` holds
/// for responses, which may have no length.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    ends_with_connection: bool,
) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if length == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    if let Some(length) = head.get("content-length").and_then(|v| v.parse().ok()) {
        body = vec![0; length];
        let is_complete = reader.read_exact(&mut body).is_ok();
        return (body, is_complete);
    }
    let is_complete = !ends_with_connection || reader.read_to_end(&mut body).is_ok();
    (body, is_complete)
}
