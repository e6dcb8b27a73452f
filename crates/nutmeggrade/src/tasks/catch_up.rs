//! Fetches state from peers while the platform is unavailable: a newer configuration, or at startup
//! the whole state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http::{Method, Request, header};
use http_body_util::Full;
use nutmeggrade_core::peer::{
    MAX_FRAME_BYTES, SYNC_PATH, SyncReply, SyncRequest, SyncTopic, open, seal,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, call, transfer_bytes};
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::tables::lock;

/// Delay between attempts, and between a starting instance's checks for a configuration.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Checks without a configuration before a starting instance contacts its seeds.
const CHECKS_BEFORE_JOIN: u32 = 2;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut checks = 0;
    loop {
        sleep(RETRY_DELAY).await;
        let (wanted, version) = {
            let config = lock(&node.tables.config);
            (config.wanted(), config.version())
        };
        if let Some(wanted) = wanted {
            catch_up(&node, wanted).await;
        } else if version == 0 {
            checks += 1;
            if checks > CHECKS_BEFORE_JOIN {
                join(&node).await;
            }
        }
    }
}

/// Fetches the version that a peer has in force from the platform, or else from a peer that has it.
async fn catch_up<P: Platform>(node: &Node<P>, wanted: u64) {
    if let Ok(Some(object)) = node.platform.read(&Configuration::key(wanted)).await {
        let value = object.value.unwrap_or_default();
        if let Ok(config) = serde_json::from_value::<Configuration>(value) {
            node.apply_config(&config, "platform");
            return;
        }
    }
    let holders = lock(&node.tables.members).peers_with_config(wanted);
    for entry in holders {
        match send_request(node, entry.admin_address, SyncTopic::Config).await {
            Ok(reply) => {
                if let Some(config) = reply.config
                    && node.apply_config(&config, "peer")
                {
                    return;
                }
            }
            Err(error) => {
                let error = format!("{error:#}");
                tracing::warn!(event = "catch_up_failed", peer = %entry.instance, wanted, error);
            }
        }
    }
}

/// Fetches the configuration, the instances and the endpoints from the seeds and, in turn, from the
/// instances that these list.
async fn join<P: Platform>(node: &Node<P>) {
    let mut next: Vec<SocketAddr> = node.settings.seeds.clone();
    let mut visited = BTreeSet::new();
    while let Some(address) = next.pop() {
        if address == node.entry.admin_address || !visited.insert(address) {
            continue;
        }
        match join_from(node, address).await {
            Ok(entries) => next.extend(entries),
            Err(error) => {
                let error = format!("{error:#}");
                tracing::warn!(event = "seed_failed", seed = %address, error);
            }
        }
    }
}

async fn join_from<P: Platform>(
    node: &Node<P>,
    address: SocketAddr,
) -> anyhow::Result<Vec<SocketAddr>> {
    let fleet = send_request(node, address, SyncTopic::Fleet).await?;
    for entry in &fleet.entries {
        node.add_peer(entry);
    }
    if let Some(assignment) = &fleet.assignment {
        lock(&node.tables.rights).note_peer_assignment(assignment, node.now());
    }
    lock(&node.tables.endpoints).init_list(&fleet.endpoints);
    node.sync_engines();
    if let Some(config) = send_request(node, address, SyncTopic::Config).await?.config {
        node.apply_config(&config, "seed");
    }
    Ok(fleet.entries.iter().map(|e| e.admin_address).collect())
}

async fn send_request<P: Platform>(
    node: &Node<P>,
    address: SocketAddr,
    topic: SyncTopic,
) -> anyhow::Result<SyncReply> {
    let request = SyncRequest { entry: node.entry.clone(), topic };
    let frame = seal(&request, &node.peer_key()).context("seal")?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(SYNC_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::from(frame))
        .context("build request")?;
    let (connect, wait) = (node.settings.connect, node.settings.platform_wait);
    let response =
        timeout(wait, call(address, request, connect)).await.context("no response")??;
    let status = response.status();
    anyhow::ensure!(status.is_success(), "peer answered {status}");
    let frame = transfer_bytes(response.into_body(), wait, MAX_FRAME_BYTES).await?;
    open(&frame, &node.peer_key()).context("decode response")
}
