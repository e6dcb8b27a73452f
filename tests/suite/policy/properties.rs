//! What holds for every order of events.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::queue::Lane;
use nutmeggrade_policy::{End, GenerationRequest, Scheduler, Ticket, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{MEMORY, ask, endpoint, engine, warm, workspace};

const ENGINES: usize = 4;
/// Cases of each property, under a fixed seed.
const CASES: u32 = 96;

#[derive(Debug, Clone)]
enum Step {
    Ask { owner: usize, long: bool, deadline: u64 },
    Token(prop::sample::Index),
    End(prop::sample::Index, bool),
    Release,
    Report { engine: usize, used: u64, cold: bool },
    Out(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        6 => (0..5_usize, any::<bool>(), 50..90_000_u64)
            .prop_map(|(owner, long, deadline)| Step::Ask { owner, long, deadline }),
        8 => index().prop_map(Step::Token),
        3 => (index(), proptest::bool::ANY).prop_map(|(i, failed)| Step::End(i, failed)),
        4 => Just(Step::Release),
        2 => (0..ENGINES, 0..=MEMORY, proptest::bool::weighted(0.2))
            .prop_map(|(engine, used, cold)| Step::Report { engine, used, cold }),
        1 => (0..=ENGINES).prop_map(Step::Out),
        3 => (1..2_000_u64).prop_map(Step::Wait),
    ]
}

fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(error) = runner.run(strategy, test) {
        panic!("{error}");
    }
}

#[derive(Debug, Default)]
struct World {
    now: u64,
    waiting: BTreeSet<Ticket>,
    running: BTreeMap<Ticket, EndpointId>,
    over: BTreeSet<Ticket>,
    log: Vec<String>,
}

impl World {
    fn decided(&mut self, ticket: Ticket, verdict: Verdict) -> Result<(), TestCaseError> {
        self.log.push(format!("{ticket:?} {verdict:?}"));
        prop_assert!(!self.over.contains(&ticket) && !self.running.contains_key(&ticket));
        match verdict {
            Verdict::Wait => drop(self.waiting.insert(ticket)),
            Verdict::Go { endpoint, .. } => drop(self.running.insert(ticket, endpoint)),
            Verdict::Refuse { retry_after, .. } => {
                prop_assert!(!retry_after.is_zero());
                self.over.insert(ticket);
            }
        }
        Ok(())
    }

    fn play(&mut self, scheduler: &mut Scheduler, steps: &[Step]) -> Result<(), TestCaseError> {
        for (number, step) in (0..).zip(steps) {
            let now = Moment::from_millis(self.now);
            match step {
                Step::Ask { owner, long, deadline } => {
                    let ask = GenerationRequest {
                        workspace: workspace(*owner),
                        deadline: Moment::from_millis(self.now + deadline),
                        ..ask(number, *long)
                    };
                    let verdict = scheduler.ask(&ask, now);
                    self.decided(ask.ticket, verdict)?;
                }
                Step::Token(index) if !self.running.is_empty() => {
                    let ticket = *index.get(&self.running.keys().collect::<Vec<_>>());
                    scheduler.token(*ticket, now);
                }
                Step::End(index, failed) if !self.running.is_empty() => {
                    let ticket = **index.get(&self.running.keys().collect::<Vec<_>>());
                    let end = if *failed { End::Failed } else { End::Finished };
                    scheduler.end(ticket, end, now);
                    self.running.remove(&ticket);
                    self.over.insert(ticket);
                }
                Step::Release => {
                    for (ticket, verdict) in scheduler.release(now) {
                        prop_assert!(self.waiting.remove(&ticket), "{ticket:?} didn't wait");
                        self.decided(ticket, verdict)?;
                    }
                }
                Step::Report { engine, used, cold } => {
                    let report = LoadReport { cold: *cold, ..warm(*used) };
                    scheduler.report(&endpoint(*engine), &report, now);
                }
                Step::Out(out) => {
                    let left: Vec<_> = (0..ENGINES).filter(|e| e != out).map(engine).collect();
                    scheduler.set_engines(&left, now);
                }
                Step::Wait(ms) => self.now += ms,
                Step::Token(_) | Step::End(..) => {}
            }
            prop_assert_eq!(scheduler.waiting(), self.waiting.len());
            let flight: u32 = scheduler.in_flight().values().sum();
            prop_assert_eq!(flight as usize, self.running.len());
        }
        Ok(())
    }
}

fn fresh() -> Scheduler {
    let mut scheduler = super::scheduler(ENGINES);
    scheduler.set_engines(&(0..ENGINES).map(engine).collect::<Vec<_>>(), Moment::ZERO);
    scheduler
}

// A request that ends twice frees a place that is in use; one that never ends keeps its place for
// ever, and the instance fills up with nothing.
#[test]
fn every_request_ends_once_and_all_comes_back() {
    check(&prop::collection::vec(step(), 1..400), |steps| {
        let mut scheduler = fresh();
        let mut world = World::default();
        world.play(&mut scheduler, &steps)?;
        let now = Moment::from_millis(world.now);
        for ticket in world.running.keys().chain(&world.waiting) {
            scheduler.end(*ticket, End::Cancelled, now);
        }
        prop_assert_eq!(scheduler.waiting(), 0);
        prop_assert!(scheduler.in_flight().is_empty());

        // Empty engines that report warm must take work again as if nothing had been.
        let later = Moment::from_millis(world.now + 60_000);
        scheduler.set_engines(&(0..ENGINES).map(engine).collect::<Vec<_>>(), now);
        for number in 0..ENGINES {
            scheduler.report(&endpoint(number), &warm(0), later);
        }
        let again = Moment::from_millis(world.now + 120_000);
        let last = GenerationRequest {
            deadline: Moment::from_millis(world.now + 400_000),
            ..ask(9_999, false)
        };
        let verdict = scheduler.ask(&last, again);
        let went = matches!(verdict, Verdict::Go { .. });
        prop_assert!(went, "{:?}", verdict);
        Ok(())
    });
}

// The same events at the same moments must give the same decisions, whatever the clock on the wall
// or the order in memory; else no incident could be played again.
#[test]
fn same_events_same_decisions() {
    check(&prop::collection::vec(step(), 1..300), |steps| {
        let mut logs = Vec::new();
        for _ in 0..2 {
            let mut world = World::default();
            world.play(&mut fresh(), &steps)?;
            logs.push(world.log);
        }
        prop_assert_eq!(&logs[0], &logs[1]);
        Ok(())
    });
}

// While two workspaces wait all the time, neither gets ahead of the other by more than the cost of
// one request of each.
#[test]
fn order_is_fair_whatever_the_costs() {
    let costs = prop::collection::vec((0..3_usize, 1..5_000_u32), 60..200);
    check(&costs, |costs| {
        let mut lane = Lane::new();
        let mut cost = BTreeMap::new();
        for (ticket, (owner, amount)) in (0..).zip(&costs) {
            lane.push(&GenerationRequest { workspace: workspace(*owner), ..ask(ticket, true) });
            cost.insert(Ticket(ticket), f64::from(*amount));
        }
        let most = f64::from(costs.iter().map(|(_, c)| *c).max().unwrap_or(0));
        let mut got: BTreeMap<WorkspaceId, f64> = BTreeMap::new();
        while lane.workspaces() == 3 {
            let Some(head) = lane.heads().next().cloned() else { break };
            lane.take(head.ticket, cost[&head.ticket]);
            *got.entry(head.workspace).or_default() += cost[&head.ticket];
            let highest = got.values().copied().fold(0.0, f64::max);
            let lowest =
                if got.len() < 3 { 0.0 } else { got.values().copied().fold(f64::MAX, f64::min) };
            prop_assert!(highest - lowest <= 2.0 * most, "{:?}", got);
        }
        Ok(())
    });
}
