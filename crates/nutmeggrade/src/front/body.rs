//! Reads request bodies within limits of size, time and memory.

use bytes::Bytes;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::intake::MemoryFull;
use nutmeggrade_relay::intake::{BodyError, ConnectionMemory, read_body};
use viz::{Request, RequestExt};

use crate::node::Node;

/// Reads a body of at most `max_bytes`.
///
/// A caller that sends its body byte by byte would keep its connection open forever. So a body has the
/// same timeout as a request's head, and all bodies together have the memory that clients share.
pub async fn read<P: Platform>(
    node: &Node<P>,
    req: &mut Request,
    max_bytes: usize,
) -> Result<Bytes, Failure> {
    let memory = memory(req)?;
    let Ok(body) = req.incoming() else {
        memory.begin_response();
        return Ok(Bytes::new());
    };
    let wait = node.settings.header_wait;
    read_body(body, max_bytes, wait, &memory).await.map_err(|error| refusal(node, &error))
}

/// Returns the account of the memory that a request's connection holds.
pub fn memory(req: &Request) -> Result<ConnectionMemory, Failure> {
    let memory = req.extensions().get::<ConnectionMemory>().cloned();
    memory
        .ok_or_else(|| Failure::new(Code::NotReady, "the connection has no account of its memory"))
}

/// Accounts for a copy that is made of a part of a body.
pub fn hold<P: Platform>(node: &Node<P>, req: &Request, bytes: usize) -> Result<(), Failure> {
    let memory = memory(req)?;
    let full = |error: MemoryFull| refusal(node, &error.into());
    memory.grow(bytes, "body").map_err(full)
}

fn refusal<P: Platform>(node: &Node<P>, error: &BodyError) -> Failure {
    let failure = Failure::new(error.code(), &error.to_string());
    match error {
        BodyError::MemoryFull => failure.with_retry_after(node.settings.beacon),
        _ => failure,
    }
}
