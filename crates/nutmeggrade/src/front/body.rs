//! Reading a caller's body within limits of size, time and memory.

use bytes::Bytes;
use http::header;
use hyper::body::Body as _;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use viz::{Request, RequestLimitsExt};

use crate::node::Node;

/// Size from which a body counts as large, in bytes. The usual prompt is far smaller.
const LARGE: u64 = 64 << 10;
/// Most large bodies that are read at a time: 64 of the default limit of a megabyte hold as much
/// memory as an instance may spend on callers that send and never finish.
const LARGE_BODIES: usize = 64;

static READING: Semaphore = Semaphore::const_new(LARGE_BODIES);

/// Reads a body.
///
/// A caller that sends its body a byte at a time would hold its connection for ever, and a few
/// thousand that send all but the last byte of a megabyte would hold gigabytes; one notices memory
/// that grows with connections while no request is answered. So a body has as much time as a head,
/// and only a few large ones are read at a time; the others are refused at once.
pub async fn read<P: Platform>(node: &Node<P>, req: &mut Request) -> Result<Bytes, Failure> {
    let reading = if is_large(req) {
        let taken = READING.try_acquire();
        let full = |_| Failure::new(Code::QueueFull, "too many large bodies are being read");
        Some(taken.map_err(full).map_err(|f| f.with_retry_after(node.settings.header_wait))?)
    } else {
        None
    };
    let whole = req.bytes_with(None, node.settings.body);
    let body = match timeout(node.settings.header_wait, whole).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(Failure::new(Code::BodyTooLarge, &error.to_string())),
        Err(_) => Err(Failure::new(Code::BodyTimeout, "the body did not arrive in time")),
    };
    drop(reading);
    body
}

/// Says whether a body is large or does not tell its length.
fn is_large(req: &Request) -> bool {
    let hint = req.body().size_hint();
    let chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    chunked || hint.upper().is_none_or(|n| n > LARGE)
}
