//! Asks endpoints that broke a connection whether they answer at all.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_platform::CallError;
use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_wire::engine;
use rand::RngExt;
use tokio::time::sleep;

use crate::engine_call;
use crate::node::Node;
use crate::tables::lock;

/// Time between two checks, half of the pause that a word of a gone endpoint brings.
const PERIOD: Duration = Duration::from_millis(250);
/// Checks after which the registry knows more.
const MOST: u32 = 40;

/// What an endpoint does with a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// It answers, or takes its time.
    Answers,
    /// It refuses the connection, or takes it and closes it without an answer.
    Breaks,
}

/// Checks an endpoint that broke a connection, again and again for as long as it breaks all, and tells the peers.
///
/// A link that failed once says nothing of the endpoint, and one that is down for seconds breaks the first
/// request of every instance, which for a generation is the whole answer. Whoever is first to lose a request
/// there finds out which it is, and the others need not.
pub fn start(node: &Arc<Node>, endpoint: &EndpointInfo) {
    let is_told = {
        let tables = lock(&node.tables);
        let now = node.now();
        tables.dispatcher.book.health(&endpoint.id).is_some_and(|h| h.has_recent_gone_notice(now))
    };
    if is_told || !lock(&node.probed).insert(endpoint.id.clone()) {
        return;
    }
    let (node, endpoint) = (Arc::clone(node), endpoint.clone());
    tokio::spawn(async move {
        run(&node, &endpoint).await;
        lock(&node.probed).remove(&endpoint.id);
    });
}

async fn run(node: &Node, endpoint: &EndpointInfo) {
    let mut told = None;
    for _ in 0..MOST {
        let said = {
            let tables = lock(&node.tables);
            if tables.registry.should_move_work(&endpoint.id) {
                return;
            }
            tables.dispatcher.book.health(&endpoint.id).and_then(Health::gone_notice_at)
        };
        // A peer checks it too.
        if said > told || check(node, endpoint).await == Check::Answers {
            return;
        }
        node.announce_gone(&endpoint.id);
        told = Some(node.now());
        let pause = PERIOD.mul_f64(rand::rng().random_range(0.9..1.1));
        sleep(pause).await;
    }
}

async fn check(node: &Node, endpoint: &EndpointInfo) -> Check {
    let map = node.map();
    let Some(spec) = map.service(&endpoint.service) else { return Check::Answers };
    let path = if spec.engine.is_some() { engine::REPORT_PATH } else { spec.health.as_str() };
    if path.is_empty() {
        return Check::Answers;
    }
    // An answer that is late says nothing: a check may wait for a slot.
    let answer =
        engine_call::ask(endpoint.address, Method::GET, path, Vec::new(), engine_call::CONNECT);
    let Err(error) = answer.await else { return Check::Answers };
    match error.downcast_ref::<CallError>() {
        Some(error) if error.is_refused() || !error.not_sent() => {
            tracing::info!(event = "check_broke", endpoint = %endpoint.id, %error);
            Check::Breaks
        }
        _ => Check::Answers,
    }
}
