//! Measures what one decision costs at three numbers of engines:
//! `cargo run --release --example decision_cost`.
//!
//! Each cell gives the time and the allocations of one decision.

use std::alloc::System;
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::{Duration, Instant};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::preset;
use nutmeggrade_policy::{End, Engine, GenerationRequest, Scheduler, Ticket, Verdict};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Engines of today's deployments, ten times as many, and the largest that is planned for.
const SIZES: [usize; 3] = [15, 150, 1_300];
/// Rounds over which each cost is averaged.
const ROUNDS: u64 = 20_000;
/// Generations that one instance has on each engine.
const EACH: u64 = 3;
/// Memory of an engine, in tokens.
const MEMORY: u64 = 40_000;

/// What one decision spent on average.
#[derive(Debug, Clone, Copy)]
struct Spent {
    nanos: f64,
    allocations: f64,
}

/// Measures from its start.
struct Meter {
    began: Instant,
    region: Region<'static, System>,
}

impl Meter {
    fn start() -> Self {
        Self { began: Instant::now(), region: Region::new(ALLOCATOR) }
    }

    fn mean(&self, rounds: u64) -> Spent {
        let nanos = self.began.elapsed().as_nanos() as f64 / rounds as f64;
        let allocations = self.region.change().allocations as f64 / rounds as f64;
        Spent { nanos, allocations }
    }
}

#[derive(Debug)]
struct Cost {
    name: &'static str,
    spent: Vec<Spent>,
}

fn main() -> anyhow::Result<()> {
    let mut costs: Vec<Cost> = Vec::new();
    for size in SIZES {
        let measured = [
            ("ask and end, engines with room", room(size)?),
            ("ask, all engines full", full(size)?),
            ("look at the queue, 256 waiting", release(size)?),
            ("token", token(size)?),
            ("peers' counts, once a heartbeat", peers(size)?),
        ];
        for (name, spent) in measured {
            match costs.iter_mut().find(|c| c.name == name) {
                Some(cost) => cost.spent.push(spent),
                None => costs.push(Cost { name, spent: vec![spent] }),
            }
        }
    }
    println!("| decision | 15 engines | 150 | 1,300 | growth exponent |");
    println!("|---|---|---|---|---|");
    for Cost { name, spent } in &costs {
        let ratio = SIZES[2] as f64 / SIZES[0] as f64;
        let growth = (spent[2].nanos / spent[0].nanos).ln() / ratio.ln();
        let cell = |s: &Spent| format!("{:.0} ns, {:.2}", s.nanos, s.allocations);
        let cells: Vec<_> = spent.iter().map(cell).collect();
        println!("| {name} | {} | {growth:.2} |", cells.join(" | "));
    }
    Ok(())
}

fn engine_id(i: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{i:04}")).expect("a valid id")
}

fn model() -> ModelId {
    ModelId::new("nutmeg-schrijvers").expect("a valid id")
}

fn scheduler(size: usize, used: u64) -> anyhow::Result<Scheduler> {
    let mut scheduler = Scheduler::new(7);
    scheduler.set_preset(&preset()?);
    let engine = |i: usize| Engine {
        id: engine_id(i),
        domain: DomainId::new(&format!("domain-{}", i % 3)).expect("a valid id"),
        models: BTreeSet::from([model()]),
        memory: MEMORY,
        cold_right: 0,
        instance_count: 7,
    };
    let engines: Vec<_> = (0..size).map(engine).collect();
    scheduler.set_engines(&engines, Moment::ZERO);
    let report = LoadReport {
        running: 10,
        waiting: 0,
        memory_used: used,
        memory_total: MEMORY,
        preemptions: 0,
        cold: false,
        cold_limit: 2,
        age: Duration::from_millis(300),
    };
    for i in 0..size {
        scheduler.report(&engine_id(i), &report, Moment::ZERO);
    }
    scheduler.set_peers(&counts(size), Moment::ZERO);
    Ok(scheduler)
}

fn counts(size: usize) -> BTreeMap<EndpointId, u32> {
    (0..size).map(|i| (engine_id(i), 10)).collect()
}

fn generation_request(number: u64) -> GenerationRequest {
    GenerationRequest {
        ticket: Ticket(number),
        workspace: WorkspaceId::new(&format!("workspace-{}", number % 10)).expect("a valid id"),
        task: TaskId::new("permit-draft").expect("a valid id"),
        is_long: true,
        model: model(),
        prompt: 600,
        max_tokens: 2_048,
        prefix: 1 + number % 200,
        deadline: Moment::from_millis(86_400_000),
        avoid: BTreeSet::new(),
    }
}

/// Time between two requests, so that engines stay below their limits for unseen admissions.
fn at(number: u64, size: usize) -> Moment {
    Moment::new(Duration::from_secs_f64(number as f64 / size as f64))
}

fn room(size: usize) -> anyhow::Result<Spent> {
    let mut scheduler = scheduler(size, 5_000)?;
    let hold = size as u64 * EACH;
    let requests: Vec<_> = (0..ROUNDS + hold).map(generation_request).collect();
    let mut placed = 0;
    let mut meter = Meter::start();
    for (number, request) in (0..).zip(&requests) {
        if number == hold {
            meter = Meter::start();
        }
        let now = at(number, size);
        let verdict = black_box(scheduler.admit(request, now));
        // The first token ends the reading of the prompt, which holds the next one back.
        scheduler.token(Ticket(number), now);
        if matches!(verdict, Verdict::Wait) {
            scheduler.end(Ticket(number), End::Cancelled, now);
        }
        if number >= hold {
            placed += u64::from(matches!(verdict, Verdict::Go { .. }));
            scheduler.end(Ticket(number - hold), End::Cancelled, now);
        }
    }
    let spent = meter.mean(ROUNDS);
    anyhow::ensure!(placed * 10 > ROUNDS * 9, "only {placed} of {ROUNDS} were placed");
    Ok(spent)
}

fn full(size: usize) -> anyhow::Result<Spent> {
    let mut scheduler = scheduler(size, MEMORY)?;
    let requests: Vec<_> = (0..ROUNDS).map(generation_request).collect();
    let meter = Meter::start();
    for request in &requests {
        black_box(scheduler.admit(request, Moment::ZERO));
        scheduler.end(request.ticket, End::Cancelled, Moment::ZERO);
    }
    Ok(meter.mean(ROUNDS))
}

fn release(size: usize) -> anyhow::Result<Spent> {
    let mut scheduler = scheduler(size, MEMORY)?;
    for number in 0..256 {
        scheduler.admit(&generation_request(number), Moment::ZERO);
    }
    anyhow::ensure!(scheduler.waiting() > 200, "the queue did not fill");
    let meter = Meter::start();
    for round in 0..ROUNDS {
        black_box(scheduler.release(Moment::from_millis(round * 7)));
    }
    Ok(meter.mean(ROUNDS))
}

fn token(size: usize) -> anyhow::Result<Spent> {
    let mut scheduler = scheduler(size, 5_000)?;
    let hold = size as u64 * EACH;
    for number in 0..hold {
        scheduler.admit(&generation_request(number), at(number, size));
        scheduler.token(Ticket(number), at(number, size));
    }
    let meter = Meter::start();
    for round in 0..ROUNDS {
        let now = Moment::from_millis(4_000 + round / hold * 15);
        scheduler.token(Ticket(round % hold), now);
    }
    Ok(meter.mean(ROUNDS))
}

fn peers(size: usize) -> anyhow::Result<Spent> {
    let mut scheduler = scheduler(size, 5_000)?;
    let counts = counts(size);
    let rounds = 200;
    let meter = Meter::start();
    for _ in 0..rounds {
        scheduler.set_peers(black_box(&counts), Moment::ZERO);
    }
    Ok(meter.mean(rounds))
}
