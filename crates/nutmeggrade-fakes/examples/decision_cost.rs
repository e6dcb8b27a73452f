//! Measures what one decision costs at three numbers of engines:
//! `cargo run --release --example decision_cost`.
//!
//! Allocations are not counted: a counting allocator needs unsafe code, which the workspace forbids.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::{Duration, Instant};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::preset;
use nutmeggrade_policy::{Ask, End, Engine, Scheduler, Ticket, Verdict};

/// Engines of today's deployments, ten times as many, and the largest that is planned for.
const SIZES: [usize; 3] = [15, 150, 1_300];
/// Rounds over which each cost is averaged.
const ROUNDS: u64 = 20_000;
/// Generations that one instance has on each engine.
const EACH: u64 = 3;
/// Memory of an engine, in tokens.
const MEMORY: u64 = 40_000;

#[derive(Debug)]
struct Cost {
    name: &'static str,
    nanos: Vec<f64>,
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
        for (name, nanos) in measured {
            match costs.iter_mut().find(|c| c.name == name) {
                Some(cost) => cost.nanos.push(nanos),
                None => costs.push(Cost { name, nanos: vec![nanos] }),
            }
        }
    }
    println!("| decision | 15 engines | 150 | 1,300 | growth exponent |");
    println!("|---|---|---|---|---|");
    for Cost { name, nanos } in &costs {
        let ratio = SIZES[2] as f64 / SIZES[0] as f64;
        let growth = (nanos[2] / nanos[0]).ln() / ratio.ln();
        let [first, second, third] = [nanos[0], nanos[1], nanos[2]];
        println!("| {name} | {first:.0} ns | {second:.0} ns | {third:.0} ns | {growth:.2} |");
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
        sharers: 7,
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

fn ask(number: u64) -> Ask {
    Ask {
        ticket: Ticket(number),
        workspace: WorkspaceId::new(&format!("workspace-{}", number % 10)).expect("a valid id"),
        task: TaskId::new("permit-draft").expect("a valid id"),
        long: true,
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

fn mean(began: Instant) -> f64 {
    began.elapsed().as_nanos() as f64 / ROUNDS as f64
}

fn room(size: usize) -> anyhow::Result<f64> {
    let mut scheduler = scheduler(size, 5_000)?;
    let hold = size as u64 * EACH;
    let asks: Vec<_> = (0..ROUNDS + hold).map(ask).collect();
    let mut placed = 0;
    let mut began = Instant::now();
    for (number, ask) in (0..).zip(&asks) {
        if number == hold {
            began = Instant::now();
        }
        let now = at(number, size);
        let verdict = black_box(scheduler.ask(ask, now));
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
    let nanos = mean(began);
    anyhow::ensure!(placed * 10 > ROUNDS * 9, "only {placed} of {ROUNDS} were placed");
    Ok(nanos)
}

fn full(size: usize) -> anyhow::Result<f64> {
    let mut scheduler = scheduler(size, MEMORY)?;
    let asks: Vec<_> = (0..ROUNDS).map(ask).collect();
    let began = Instant::now();
    for ask in &asks {
        black_box(scheduler.ask(ask, Moment::ZERO));
        scheduler.end(ask.ticket, End::Cancelled, Moment::ZERO);
    }
    Ok(mean(began))
}

fn release(size: usize) -> anyhow::Result<f64> {
    let mut scheduler = scheduler(size, MEMORY)?;
    for number in 0..256 {
        scheduler.ask(&ask(number), Moment::ZERO);
    }
    anyhow::ensure!(scheduler.waiting() > 200, "the queue did not fill");
    let began = Instant::now();
    for round in 0..ROUNDS {
        black_box(scheduler.release(Moment::from_millis(round * 7)));
    }
    Ok(mean(began))
}

fn token(size: usize) -> anyhow::Result<f64> {
    let mut scheduler = scheduler(size, 5_000)?;
    let hold = size as u64 * EACH;
    for number in 0..hold {
        scheduler.ask(&ask(number), at(number, size));
        scheduler.token(Ticket(number), at(number, size));
    }
    let began = Instant::now();
    for round in 0..ROUNDS {
        let now = Moment::from_millis(4_000 + round / hold * 15);
        scheduler.token(Ticket(round % hold), now);
    }
    Ok(mean(began))
}

fn peers(size: usize) -> anyhow::Result<f64> {
    let mut scheduler = scheduler(size, 5_000)?;
    let counts = counts(size);
    let rounds = 200;
    let began = Instant::now();
    for _ in 0..rounds {
        scheduler.set_peers(black_box(&counts), Moment::ZERO);
    }
    Ok(began.elapsed().as_nanos() as f64 / f64::from(rounds))
}
