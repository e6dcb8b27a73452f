//! Keeps the right to cold endpoints: confirms the epoch, and writes the next one.

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

/// Looks at the epoch within one lease while an owned endpoint is cold.
const LOOKS: u32 = 4;
/// Ticks between looks while all owned endpoints are warm: enough to hold the lease, which orders
/// need, if every answer comes.
const IDLE_TICKS: u32 = 2;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut idle = IDLE_TICKS;
    loop {
        idle += 1;
        let wanted = lock(&node.tables.rights).needs_lease(node.now());
        if wanted || idle >= IDLE_TICKS {
            idle = 0;
            if let Err(error) = confirm(&node).await {
                tracing::debug!(event = "epoch_not_confirmed", error = format!("{error:#}"));
            }
            node.sync_engines();
        }
        sleep(node.settings.lease / LOOKS).await;
    }
}

/// Reads the newest epoch and writes the next one if that is due.
async fn confirm<P: Platform>(node: &Node<P>) -> anyhow::Result<()> {
    // The answer shows the epoch as of some moment after the call; only the earliest is sure.
    let asked = node.now();
    let found = node.platform.read(ASSIGNMENT_KEY).await?;
    let version = found.as_ref().map_or(0, |o| o.version);
    if let Some(value) = found.and_then(|o| o.value) {
        let assignment: Assignment = serde_json::from_value(value).context("decode assignment")?;
        learn(node, &assignment, asked);
    }
    let live = live(node);
    let lease = node.settings.lease;
    let next = lock(&node.tables.rights).propose(&live, lease, node.now());
    match next {
        Some(next) => write(node, &next, version).await,
        None => Ok(()),
    }
}

async fn write<P: Platform>(node: &Node<P>, next: &Assignment, version: u64) -> anyhow::Result<()> {
    let value = serde_json::to_value(next).context("encode assignment")?;
    let asked = node.now();
    let written = match version {
        0 => node.platform.create(ASSIGNMENT_KEY, &value).await,
        _ => node.platform.replace(ASSIGNMENT_KEY, &value, version).await,
    };
    match written {
        Ok(_) => {
            note(node, next, "");
            learn(node, next, asked);
        }
        // Another instance was first; the next look shows its epoch.
        Err(PlatformError::Conflict) => {}
        Err(error) => {
            // It may have taken effect; the trail says so rather than leave out a take-over.
            if matches!(error, PlatformError::Unknown(_)) {
                note(node, next, " answer=lost");
            }
            return Err(error.into());
        }
    }
    Ok(())
}

/// Notes the epoch in the audit trail; only its writer does, so that there is one entry for each.
fn note<P: Platform>(node: &Node<P>, next: &Assignment, outcome: &str) {
    let names = |a: &Assignment| a.members.keys().cloned().collect::<BTreeSet<_>>();
    let before = lock(&node.tables.rights).assignment().map(names).unwrap_or_default();
    let after = names(next);
    let list = |set: Vec<&InstanceId>| {
        let names: Vec<_> = set.into_iter().map(InstanceId::as_str).collect();
        names.join(",")
    };
    let joined = list(after.difference(&before).collect());
    let left = list(before.difference(&after).collect());
    let (epoch, members) = (next.epoch, after.len());
    let detail = format!("epoch={epoch} members={members} joined={joined} left={left}{outcome}");
    node.audit(AuditEvent::TookOver, &detail);
}

fn learn<P: Platform>(node: &Node<P>, assignment: &Assignment, asked: Moment) {
    let now = node.now();
    let changed = {
        let mut rights = lock(&node.tables.rights);
        let before = rights.epoch();
        rights.learn(assignment, asked, now);
        rights.epoch() > before
    };
    if changed {
        let members = assignment.members.len();
        tracing::info!(event = "epoch_learned", epoch = assignment.epoch, members);
    }
}

/// Lists the instances in service as this one sees them, itself included.
fn live<P: Platform>(node: &Node<P>) -> std::collections::BTreeMap<InstanceId, Candidate> {
    // A waiting watch tells of the platform only every half fence.
    let patience = node.settings.fence * 2;
    let mut live = lock(&node.tables.members).candidates(patience, node.now());
    if node.phase() == Phase::Serving {
        let own = Candidate { incarnation: node.entry.incarnation, platform_reachable: true };
        live.insert(node.entry.instance.clone(), own);
    }
    live
}
