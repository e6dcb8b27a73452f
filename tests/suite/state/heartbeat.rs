//! A heartbeat as instances mostly send it.

use std::collections::BTreeMap;

use nutmeggrade_core::peer::{Contacts, FleetBeacon, InstanceAddresses, Introduction, Revisions};
use nutmeggrade_core::prelude::*;

/// Returns a heartbeat of an instance that introduces itself and has placed nothing.
pub fn heartbeat(instance: &InstanceId, seat: &InstanceAddresses, sequence: u64) -> FleetBeacon {
    FleetBeacon {
        instance: instance.clone(),
        incarnation: 100,
        sequence,
        introduction: Some(Introduction { sender: seat.clone(), others: Contacts::new() }),
        leaving: false,
        reads: true,
        revisions: Revisions::default(),
        placed: BTreeMap::new(),
        rollouts: Vec::new(),
    }
}
