//! Background tasks of an instance.

mod catch_up;
mod cleanup;
mod config_watch;
mod endpoint_refresh;
mod heartbeat_receiver;
mod heartbeat_sender;
mod load_poll;
mod orphans;
mod registration;
mod release;
mod rights;

use std::sync::Arc;

use nutmeggrade_platform::Platform;

use crate::node::Node;
use crate::peers::Peers;

pub use registration::unregister;

/// Starts every background task.
pub fn start<P: Platform>(node: &Arc<Node<P>>, peers: &Arc<Peers>) {
    tokio::spawn(config_watch::run(Arc::clone(node)));
    tokio::spawn(cleanup::run(Arc::clone(node)));
    tokio::spawn(catch_up::run(Arc::clone(node)));
    tokio::spawn(rights::run(Arc::clone(node)));
    tokio::spawn(registration::run(Arc::clone(node), Arc::clone(peers)));
    tokio::spawn(endpoint_refresh::run(Arc::clone(node)));
    tokio::spawn(load_poll::run(Arc::clone(node)));
    tokio::spawn(crate::orders::watch_orders(Arc::clone(node)));
    tokio::spawn(crate::orders::run_owner(Arc::clone(node)));
    tokio::spawn(crate::audit::run(Arc::clone(node)));
    tokio::spawn(orphans::run(Arc::clone(node)));
    tokio::spawn(release::run(Arc::clone(node)));
    tokio::spawn(heartbeat_sender::run(Arc::clone(node), Arc::clone(peers)));
    let node = Arc::clone(node);
    std::thread::spawn(move || heartbeat_receiver::run(&node));
}
