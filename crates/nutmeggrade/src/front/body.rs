//! Reads request bodies within limits of size, time and memory.

use bytes::Bytes;
use http::header;
use hyper::body::Body as _;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use viz::{Request, RequestLimitsExt};

use crate::node::Node;

/// Size above which a body counts as large. Typical prompts are far smaller.
const LARGE_BODY_BYTES: u64 = 64 << 10;
/// Maximum number of large bodies that are read concurrently: 64 bodies of the default limit of one
/// megabyte use as much memory as an instance may spend on callers that never finish sending.
const MAX_LARGE_BODIES: usize = 64;

static LARGE_BODY_PERMITS: Semaphore = Semaphore::const_new(MAX_LARGE_BODIES);

/// Reads a body.
///
/// A caller that sends its body byte by byte would keep its connection open forever, and a few
/// thousand callers that send all but the last byte of a megabyte would occupy gigabytes: memory
/// grows with the connections while no request completes. So a body has the same time limit as a
/// request's head, and only a few large bodies are read concurrently; others are refused at once.
pub async fn read<P: Platform>(node: &Node<P>, req: &mut Request) -> Result<Bytes, Failure> {
    let permit = if is_large(req) {
        let acquired = LARGE_BODY_PERMITS.try_acquire();
        let refusal = |_| Failure::new(Code::QueueFull, "too many large bodies are being read");
        Some(acquired.map_err(refusal).map_err(|f| f.with_retry_after(node.settings.header_wait))?)
    } else {
        None
    };
    let received = req.bytes_with(None, node.settings.body);
    let body = match timeout(node.settings.header_wait, received).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(Failure::new(Code::BodyTooLarge, &error.to_string())),
        Err(_) => Err(Failure::new(Code::BodyTimeout, "the body did not arrive in time")),
    };
    drop(permit);
    body
}

/// Returns whether a body is large or of unknown length.
fn is_large(req: &Request) -> bool {
    let size_hint = req.body().size_hint();
    let chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    chunked || size_hint.upper().is_none_or(|n| n > LARGE_BODY_BYTES)
}
