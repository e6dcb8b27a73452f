//! Measures the cost of one scheduling decision at three numbers of engines:
//! `cargo run --release --example decision_cost`.
//!
//! Each cell of the table is the time and the number of allocations of one decision.

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

/// Numbers of engines: the current deployments, ten times as many, and the largest planned one.
const SIZES: [usize; 3] = [15, 150, 1_300];
/// Number of rounds over which each cost is averaged.
const ROUNDS: u64 = 20_000;
/// Number of generations that one instance has on each engine.
const GENERATIONS_PER_ENGINE: u64 = 3;
/// Key/value memory of an engine, in tokens.
const MEMORY_TOKENS: u64 = 40_000;

/// Average cost of one decision.
#[derive(Debug, Clone, Copy)]
struct MeanCost {
    nanos: f64,
    allocations: f64,
}

/// Measures time and allocations from its start.
struct Meter {
    start: Instant,
    region: Region<'static, System>,
}

impl Meter {
    fn start() -> Self {
        Self { start: Instant::now(), region: Region::new(ALLOCATOR) }
    }

    fn mean(&self, rounds: u64) -> MeanCost {
        let nanos = self.start.elapsed().as_nanos() as f64 / rounds as f64;
        let allocations = self.region.change().allocations as f64 / rounds as f64;
        MeanCost { nanos, allocations }
    }
}

#[derive(Debug)]
struct ResultRow {
    name: &'static str,
    values: Vec<MeanCost>,
}

fn main() -> anyhow::Result<()> {
    let mut rows: Vec<ResultRow> = Vec::new();
    for size in SIZES {
        let measured = [
            ("ask and end, engines with room", measure_placement(size)?),
            ("ask, all engines full", measure_full_engines(size)?),
            ("look at the queue, 256 waiting", measure_queue_check(size)?),
            ("token", measure_token(size)?),
            ("peers' counts, once a heartbeat", measure_peer_counts(size)?),
        ];
        for (name, values) in measured {
            match rows.iter_mut().find(|c| c.name == name) {
                Some(row) => row.values.push(values),
                None => rows.push(ResultRow { name, values: vec![values] }),
            }
        }
    }
    println!("| decision | 15 engines | 150 | 1,300 | growth exponent |");
    println!("|---|---|---|---|---|");
    for ResultRow { name, values } in &rows {
        let ratio = SIZES[2] as f64 / SIZES[0] as f64;
        let growth = (values[2].nanos / values[0].nanos).ln() / ratio.ln();
        let cell = |s: &MeanCost| format!("{:.0} ns, {:.2}", s.nanos, s.allocations);
        let cells: Vec<_> = values.iter().map(cell).collect();
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
        memory: MEMORY_TOKENS,
        cold_right: 0,
        instance_count: 7,
    };
    let engines: Vec<_> = (0..size).map(engine).collect();
    scheduler.set_engines(&engines, Moment::ZERO);
    let report = LoadReport {
        running: 10,
        waiting: 0,
        memory_used: used,
        memory_total: MEMORY_TOKENS,
        preemptions: 0,
        cold: false,
        cold_limit: 2,
        age: Duration::from_millis(300),
    };
    for i in 0..size {
        scheduler.report(&engine_id(i), &report, Moment::ZERO);
    }
    scheduler.set_peers(&peer_counts(size), Moment::ZERO);
    Ok(scheduler)
}

fn peer_counts(size: usize) -> BTreeMap<EndpointId, u32> {
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

/// Returns the arrival time of a request, spaced so that engines stay below their limit for
/// admissions that load reports don't show yet.
fn arrival_time(number: u64, size: usize) -> Moment {
    Moment::new(Duration::from_secs_f64(number as f64 / size as f64))
}

fn measure_placement(size: usize) -> anyhow::Result<MeanCost> {
    let mut scheduler = scheduler(size, 5_000)?;
    let in_flight_target = size as u64 * GENERATIONS_PER_ENGINE;
    let requests: Vec<_> = (0..ROUNDS + in_flight_target).map(generation_request).collect();
    let mut placed = 0;
    let mut meter = Meter::start();
    for (number, generation_request) in (0..).zip(&requests) {
        if number == in_flight_target {
            meter = Meter::start();
        }
        let now = arrival_time(number, size);
        let verdict = black_box(scheduler.admit(generation_request, now));
        // The first token ends the prefill, during which the scheduler holds back the next request.
        scheduler.token(Ticket(number), now);
        if matches!(verdict, Verdict::Wait) {
            scheduler.end(Ticket(number), End::Cancelled, now);
        }
        if number >= in_flight_target {
            placed += u64::from(matches!(verdict, Verdict::Go { .. }));
            scheduler.end(Ticket(number - in_flight_target), End::Cancelled, now);
        }
    }
    let values = meter.mean(ROUNDS);
    anyhow::ensure!(placed * 10 > ROUNDS * 9, "only {placed} of {ROUNDS} were placed");
    Ok(values)
}

fn measure_full_engines(size: usize) -> anyhow::Result<MeanCost> {
    let mut scheduler = scheduler(size, MEMORY_TOKENS)?;
    let requests: Vec<_> = (0..ROUNDS).map(generation_request).collect();
    let meter = Meter::start();
    for generation_request in &requests {
        black_box(scheduler.admit(generation_request, Moment::ZERO));
        scheduler.end(generation_request.ticket, End::Cancelled, Moment::ZERO);
    }
    Ok(meter.mean(ROUNDS))
}

fn measure_queue_check(size: usize) -> anyhow::Result<MeanCost> {
    let mut scheduler = scheduler(size, MEMORY_TOKENS)?;
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

fn measure_token(size: usize) -> anyhow::Result<MeanCost> {
    let mut scheduler = scheduler(size, 5_000)?;
    let in_flight_target = size as u64 * GENERATIONS_PER_ENGINE;
    for number in 0..in_flight_target {
        scheduler.admit(&generation_request(number), arrival_time(number, size));
        scheduler.token(Ticket(number), arrival_time(number, size));
    }
    let meter = Meter::start();
    for round in 0..ROUNDS {
        let now = Moment::from_millis(4_000 + round / in_flight_target * 15);
        scheduler.token(Ticket(round % in_flight_target), now);
    }
    Ok(meter.mean(ROUNDS))
}

fn measure_peer_counts(size: usize) -> anyhow::Result<MeanCost> {
    let mut scheduler = scheduler(size, 5_000)?;
    let peer_counts = peer_counts(size);
    let rounds = 200;
    let meter = Meter::start();
    for _ in 0..rounds {
        scheduler.set_peers(black_box(&peer_counts), Moment::ZERO);
    }
    Ok(meter.mean(rounds))
}
