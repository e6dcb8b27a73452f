//! Scheduling and dispatch decisions under load, without network, clock or threads.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{Engine, GenerationRequest, Scheduler, Ticket};

mod client_part;
mod cold;
mod dispatch;
mod fairness;
mod fleet;
mod fleet_loop;
mod fleet_queue;
mod fleet_rules;
mod gaps;
mod holds;
mod intake;
mod large_pools;
mod lengths;
mod load_table;
mod memory;
mod paces;
mod patterns;
mod polled;
mod properties;
mod rate_limits;
mod retries;
mod rollouts;
mod room_forecast;
mod routing;
mod staggered_interval;
mod stall_watch;
mod startup;
mod uneven;

/// Cache memory of an engine, in tokens.
const MEMORY_TOKENS: u64 = 40_000;

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{number:02}")).expect("a valid id")
}

fn workspace(number: usize) -> WorkspaceId {
    WorkspaceId::new(&format!("workspace-{number}")).expect("a valid id")
}

fn task(name: &str) -> TaskId {
    TaskId::new(name).expect("a valid id")
}

fn model() -> ModelId {
    ModelId::new("nutmeg-schrijvers").expect("a valid id")
}

fn engine(number: usize) -> Engine {
    Engine {
        id: endpoint(number),
        domain: DomainId::new(&format!("domain-{}", number % 3)).expect("a valid id"),
        models: BTreeSet::from([model()]),
        memory: MEMORY_TOKENS,
        cold_right: 0,
        instance_count: 1,
    }
}

fn warm_report(used: u64) -> LoadReport {
    LoadReport {
        running: 0,
        waiting: 0,
        memory_used: used,
        memory_total: MEMORY_TOKENS,
        preemptions: 0,
        cold: false,
        cold_limit: 2,
        age: Duration::ZERO,
    }
}

/// Returns a scheduler with warm, empty engines.
fn scheduler(engines: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(3);
    scheduler.set_preset(&nutmeggrade_fakes::fleet::preset().expect("a preset"));
    let all: Vec<_> = (0..engines).map(engine).collect();
    scheduler.set_engines(&all, Moment::ZERO);
    for number in 0..engines {
        scheduler.report(&endpoint(number), &warm_report(0), Moment::ZERO);
    }
    scheduler
}

fn request(ticket: u64, is_long: bool) -> GenerationRequest {
    GenerationRequest {
        ticket: Ticket(ticket),
        workspace: workspace(0),
        task: task(if is_long { "permit-draft" } else { "district-sort" }),
        is_long,
        model: model(),
        prompt: 400,
        max_tokens: if is_long { 8_192 } else { 64 },
        prefix: 0,
        deadline: Moment::from_millis(3_600_000),
        avoid: BTreeSet::new(),
    }
}
