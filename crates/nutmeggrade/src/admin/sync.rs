//! `POST /peer/sync`: sends state to a peer that can't reach the platform.

use nutmeggrade_core::peer::{MAX_FRAME_BYTES, SyncReply, SyncRequest, SyncTopic, open, seal};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use viz::{Request, Response};

use crate::front::{Reply, body, failure};
use crate::node::Node;
use crate::tables::lock;

/// Handles a request that is authenticated with the peer key, and adds its sender as a peer.
pub async fn post<P: Platform>(mut req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    let body = match body::read(&node, &mut req, MAX_FRAME_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return Ok(failure(&refusal)),
    };
    let key = node.peer_key();
    let request = match open::<SyncRequest>(&body, &key) {
        Ok(request) => request,
        Err(reason) => {
            let reason = reason.to_string();
            node.metrics.dropped_messages.with_label_values(&[reason.as_str()]).inc();
            return Ok(failure(&Failure::new(Code::BadToken, "not a message of a peer")));
        }
    };
    node.add_peer(&request.entry);
    match seal(&reply(&node, request.topic), &key) {
        Ok(frame) => Ok(Response::new(http_body_util::Full::from(frame).into())),
        Err(e) => Ok(failure(&Failure::new(Code::NotReady, &e.to_string()))),
    }
}

fn reply<P: Platform>(node: &Node<P>, topic: SyncTopic) -> SyncReply {
    match topic {
        SyncTopic::Config => {
            let config = lock(&node.tables.config).current();
            SyncReply { config: config.map(|c| (*c).clone()), ..SyncReply::default() }
        }
        SyncTopic::Fleet => {
            let entries = {
                let members = lock(&node.tables.members);
                let live = members.live(node.now()).into_iter().cloned();
                live.chain([node.entry.clone()]).collect()
            };
            let endpoints = lock(&node.tables.endpoints).all().cloned().collect();
            let assignment = lock(&node.tables.rights).assignment().cloned();
            SyncReply { config: None, assignment, entries, endpoints }
        }
    }
}
