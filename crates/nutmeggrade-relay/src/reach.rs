//! Checks whether this instance can connect to the endpoints of a service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};

use crate::connect::connect;
use crate::node::Node;
use crate::tables::lock;

/// Number of other endpoints that are connected to in a check.
const SAMPLE_SIZE: usize = 5;
/// Timeout of the connections of a check, which take a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an answer to a connection after which it is checked whether others are answered.
const SLOW_CONNECT: Duration = Duration::from_millis(150);
/// Interval between two checks while a service can't be reached.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Another endpoint accepts connections, or there is none to compare with.
    Reached,
    /// No endpoint of the service can be connected to.
    CutOff,
}

/// The last check of a service: when it began, and its result.
type LastCheck = Arc<tokio::sync::Mutex<Option<(Moment, Reach)>>>;

/// The last check of each service. Only one check of a service runs at a time, and all that wait for
/// it share its result.
#[derive(Debug, Default)]
pub struct ReachChecks {
    services: Mutex<BTreeMap<ServiceId, LastCheck>>,
}

impl ReachChecks {
    fn last(&self, service: &ServiceId) -> LastCheck {
        Arc::clone(lock(&self.services).entry(service.clone()).or_default())
    }
}

/// Determines, after an endpoint could not be connected to, whether this instance reaches other
/// endpoints of its service.
///
/// If it reaches none, the failure says nothing about the endpoint: this instance has lost its links,
/// while its peers may have theirs.
pub async fn check(node: &Arc<Node>, endpoint: &EndpointInfo) -> Reach {
    let service = &endpoint.service;
    if node.is_cut_off(service) {
        return Reach::CutOff;
    }
    let asked_at = node.now();
    let last = node.reach_checks.last(service);
    let mut last = last.lock().await;
    if let Some((started_at, reach)) = *last
        && started_at >= asked_at
    {
        return reach;
    }
    let started_at = node.now();
    let others = sample_others(node, endpoint);
    let reach = if others.is_empty() || any_accepts(&others).await {
        Reach::Reached
    } else {
        Reach::CutOff
    };
    *last = Some((started_at, reach));
    drop(last);
    if reach == Reach::CutOff {
        begin_cut(node, service);
    }
    reach
}

/// Completes if a connection to the endpoint takes long because the service can't be reached.
pub async fn until_cut_off(node: &Arc<Node>, endpoint: &EndpointInfo) {
    sleep(SLOW_CONNECT).await;
    if check(node, endpoint).await != Reach::CutOff {
        std::future::pending::<()>().await;
    }
}

/// Marks a service as cut off, and checks in the background until it can be reached again.
fn begin_cut(node: &Arc<Node>, service: &ServiceId) {
    if !lock(&node.tables).reach.set_cut_off(service, node.now()) {
        return;
    }
    tracing::warn!(event = "service_cut_off", %service);
    report(node);
    let (node, service) = (Arc::clone(node), service.clone());
    tokio::spawn(async move {
        loop {
            let wait = RECHECK_INTERVAL.mul_f64(rand::rng().random_range(0.85..1.15));
            sleep(wait).await;
            let endpoints = sample(&node, |e| e.service == service);
            // Without endpoints there is nothing to reach.
            if endpoints.is_empty() || any_accepts(&endpoints).await {
                end_cut(&node, &service);
                return;
            }
        }
    });
}

/// Ends the cut of a service, if there is one: an endpoint was connected to.
pub fn end_cut(node: &Node, service: &ServiceId) {
    let since = lock(&node.tables).reach.set_reached(service);
    let Some(since) = since else { return };
    let elapsed = node.now().since(since);
    tracing::info!(event = "service_reached", %service, ms = elapsed.as_millis());
    report(node);
}

/// Tells peers and metrics which services can't be reached.
fn report(node: &Node) {
    let count = {
        let tables = &mut *lock(&node.tables);
        let count = tables.reach.cut_off_services().len();
        tables.fleet.set_cut_off(count > 0);
        count
    };
    node.heartbeat_due.notify_one();
    node.metrics.cut_off_services.set(i64::try_from(count).unwrap_or(i64::MAX));
}

/// Draws other endpoints of the endpoint's service, or if there are none, of other services.
fn sample_others(node: &Node, endpoint: &EndpointInfo) -> Vec<EndpointInfo> {
    let others = sample(node, |e| e.service == endpoint.service && e.id != endpoint.id);
    if others.is_empty() { sample(node, |e| e.service != endpoint.service) } else { others }
}

fn sample(node: &Node, is_candidate: impl Fn(&EndpointInfo) -> bool) -> Vec<EndpointInfo> {
    let tables = lock(&node.tables);
    let usable = tables.registry.usable().map(|e| &e.info).filter(|e| is_candidate(e));
    usable.sample(&mut rand::rng(), SAMPLE_SIZE).into_iter().cloned().collect()
}

/// Returns whether any of the endpoints accepts a connection in time.
async fn any_accepts(endpoints: &[EndpointInfo]) -> bool {
    let mut attempts: FuturesUnordered<_> =
        endpoints.iter().map(|e| timeout(CHECK_TIMEOUT, connect(e.address))).collect();
    while let Some(result) = attempts.next().await {
        if matches!(result, Ok(Ok(_))) {
            return true;
        }
    }
    false
}
