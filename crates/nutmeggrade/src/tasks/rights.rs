//! Maintains the rights to cold endpoints: confirms the current epoch and writes the next one.

use std::collections::BTreeSet;
use std::sync::Arc;

use anyhow::Context;
use nutmeggrade_core::audit::AuditEvent;
use nutmeggrade_core::peer::{ASSIGNMENT_KEY, Assignment};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, PlatformError};
use nutmeggrade_state::membership::Candidate;
use tokio::time::sleep;

use crate::node::{Node, Phase};
use crate::tables::lock;

/// Checks of the epoch per lease while an owned endpoint is cold.
const CHECKS_PER_LEASE: u32 = 4;
/// Ticks between checks while all owned endpoints are warm: enough to keep the lease, which orders
/// need, if every check succeeds.
const IDLE_TICKS: u32 = 2;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut idle_ticks = IDLE_TICKS;
    loop {
        idle_ticks += 1;
        let needs_lease = lock(&node.tables.rights).needs_lease(node.now());
        if needs_lease || idle_ticks >= IDLE_TICKS {
            idle_ticks = 0;
            if let Err(error) = confirm(&node).await {
                tracing::debug!(event = "epoch_not_confirmed", error = format!("{error:#}"));
            }
            node.sync_engines();
        }
        sleep(node.settings.lease / CHECKS_PER_LEASE).await;
    }
}

/// Reads the current epoch and writes the next one if it is due.
async fn confirm<P: Platform>(node: &Node<P>) -> anyhow::Result<()> {
    // The response is dated by its request, since it reflects an unknown time after that.
    let requested_at = node.now();
    let found = node.platform.read(ASSIGNMENT_KEY).await?;
    let version = found.as_ref().map_or(0, |o| o.version);
    if let Some(value) = found.and_then(|o| o.value) {
        let assignment: Assignment = serde_json::from_value(value).context("decode assignment")?;
        apply_assignment(node, &assignment, requested_at);
    }
    let candidates = live_candidates(node);
    let lease = node.settings.lease;
    let next = lock(&node.tables.rights).propose(&candidates, lease, node.now());
    match next {
        Some(next) => write(node, &next, version).await,
        None => Ok(()),
    }
}

async fn write<P: Platform>(node: &Node<P>, next: &Assignment, version: u64) -> anyhow::Result<()> {
    let value = serde_json::to_value(next).context("encode assignment")?;
    let requested_at = node.now();
    let written = match version {
        0 => node.platform.create(ASSIGNMENT_KEY, &value).await,
        _ => node.platform.replace(ASSIGNMENT_KEY, &value, version).await,
    };
    match written {
        Ok(_) => {
            record_epoch(node, next, "");
            apply_assignment(node, next, requested_at);
        }
        // Another instance wrote first; the next check reads its epoch.
        Err(PlatformError::Conflict) => {}
        Err(error) => {
            // The write may have taken effect: the trail must not miss a takeover.
            if matches!(error, PlatformError::Unknown(_)) {
                record_epoch(node, next, " answer=lost");
            }
            return Err(error.into());
        }
    }
    Ok(())
}

/// Records the epoch in the audit trail; only its writer does, so that each epoch has one entry.
fn record_epoch<P: Platform>(node: &Node<P>, next: &Assignment, outcome: &str) {
    let names = |a: &Assignment| a.members.keys().cloned().collect::<BTreeSet<_>>();
    let before = lock(&node.tables.rights).assignment().map(names).unwrap_or_default();
    let after = names(next);
    let join_names = |set: Vec<&InstanceId>| {
        let names: Vec<_> = set.into_iter().map(InstanceId::as_str).collect();
        names.join(",")
    };
    let joined = join_names(after.difference(&before).collect());
    let left = join_names(before.difference(&after).collect());
    let (epoch, members) = (next.epoch, after.len());
    let detail = format!("epoch={epoch} members={members} joined={joined} left={left}{outcome}");
    node.audit(AuditEvent::TookOver, &detail);
}

fn apply_assignment<P: Platform>(node: &Node<P>, assignment: &Assignment, requested_at: Moment) {
    let now = node.now();
    let changed = {
        let mut rights = lock(&node.tables.rights);
        let before = rights.epoch();
        rights.confirm_assignment(assignment, requested_at, now);
        rights.epoch() > before
    };
    if changed {
        let members = assignment.members.len();
        tracing::info!(event = "epoch_learned", epoch = assignment.epoch, members);
    }
}

/// Returns the instances in service that this instance sees, itself included.
fn live_candidates<P: Platform>(
    node: &Node<P>,
) -> std::collections::BTreeMap<InstanceId, Candidate> {
    // A long-poll watch confirms a peer's connection to the platform only every half fence.
    let max_age = node.settings.fence * 2;
    let mut candidates = lock(&node.tables.members).candidates(max_age, node.now());
    if node.phase() == Phase::Serving {
        let own = Candidate { incarnation: node.entry.incarnation, platform_reachable: true };
        candidates.insert(node.entry.instance.clone(), own);
    }
    candidates
}
