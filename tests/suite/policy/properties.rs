//! Properties of the scheduler that hold for every order of events.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::queue::Lane;
use nutmeggrade_policy::{End, GenerationRequest, Scheduler, Ticket, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{MEMORY_TOKENS, endpoint, engine, request, warm_report, workspace};

const ENGINES: usize = 4;
/// Cases of each property, under a fixed seed.
const CASES: u32 = 96;

#[derive(Debug, Clone)]
enum Step {
    Ask { workspace_index: usize, is_long: bool, deadline: u64 },
    Token(prop::sample::Index),
    End(prop::sample::Index, bool),
    Release,
    Report { engine: usize, used: u64, cold: bool },
    RemoveEngine(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        6 => (0..5_usize, any::<bool>(), 50..90_000_u64)
            .prop_map(|(workspace_index, is_long, deadline)| {
                Step::Ask { workspace_index, is_long, deadline }
            }),
        8 => index().prop_map(Step::Token),
        3 => (index(), proptest::bool::ANY).prop_map(|(i, failed)| Step::End(i, failed)),
        4 => Just(Step::Release),
        2 => (0..ENGINES, 0..=MEMORY_TOKENS, proptest::bool::weighted(0.2))
            .prop_map(|(engine, used, cold)| Step::Report { engine, used, cold }),
        1 => (0..=ENGINES).prop_map(Step::RemoveEngine),
        3 => (1..2_000_u64).prop_map(Step::Advance),
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
struct Model {
    now: u64,
    waiting: BTreeSet<Ticket>,
    running: BTreeMap<Ticket, EndpointId>,
    ended: BTreeSet<Ticket>,
    log: Vec<String>,
}

impl Model {
    fn record_verdict(&mut self, ticket: Ticket, verdict: Verdict) -> Result<(), TestCaseError> {
        self.log.push(format!("{ticket:?} {verdict:?}"));
        prop_assert!(!self.ended.contains(&ticket) && !self.running.contains_key(&ticket));
        match verdict {
            Verdict::Wait => drop(self.waiting.insert(ticket)),
            Verdict::Go { endpoint, .. } => drop(self.running.insert(ticket, endpoint)),
            Verdict::Refuse { retry_after, .. } => {
                prop_assert!(!retry_after.is_zero());
                self.ended.insert(ticket);
            }
        }
        Ok(())
    }

    fn play(&mut self, scheduler: &mut Scheduler, steps: &[Step]) -> Result<(), TestCaseError> {
        for (number, step) in (0..).zip(steps) {
            let now = Moment::from_millis(self.now);
            match step {
                Step::Ask { workspace_index, is_long, deadline } => {
                    let request = GenerationRequest {
                        workspace: workspace(*workspace_index),
                        deadline: Moment::from_millis(self.now + deadline),
                        ..request(number, *is_long)
                    };
                    let verdict = scheduler.admit(&request, now);
                    self.record_verdict(request.ticket, verdict)?;
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
                    self.ended.insert(ticket);
                }
                Step::Release => {
                    for (ticket, verdict) in scheduler.release(now) {
                        prop_assert!(self.waiting.remove(&ticket), "{ticket:?} didn't wait");
                        self.record_verdict(ticket, verdict)?;
                    }
                }
                Step::Report { engine, used, cold } => {
                    let report = LoadReport { cold: *cold, ..warm_report(*used) };
                    scheduler.report(&endpoint(*engine), &report, now);
                }
                Step::RemoveEngine(removed) => {
                    let remaining: Vec<_> =
                        (0..ENGINES).filter(|e| e != removed).map(engine).collect();
                    scheduler.set_engines(&remaining, now);
                }
                Step::Advance(ms) => self.now += ms,
                Step::Token(_) | Step::End(..) => {}
            }
            prop_assert_eq!(scheduler.waiting(), self.waiting.len());
            let in_flight: u32 = scheduler.in_flight().values().sum();
            prop_assert_eq!(in_flight as usize, self.running.len());
        }
        Ok(())
    }
}

fn new_scheduler() -> Scheduler {
    let mut scheduler = super::scheduler(ENGINES);
    scheduler.set_engines(&(0..ENGINES).map(engine).collect::<Vec<_>>(), Moment::ZERO);
    scheduler
}

// Guards against requests that are counted wrongly: one that ends twice releases capacity that is
// in use, and one that never ends holds its capacity forever, until the instance accepts nothing.
#[test]
fn every_request_ends_once_and_frees_its_capacity() {
    check(&prop::collection::vec(step(), 1..400), |steps| {
        let mut scheduler = new_scheduler();
        let mut model = Model::default();
        model.play(&mut scheduler, &steps)?;
        let now = Moment::from_millis(model.now);
        for ticket in model.running.keys().chain(&model.waiting) {
            scheduler.end(*ticket, End::Cancelled, now);
        }
        prop_assert_eq!(scheduler.waiting(), 0);
        prop_assert!(scheduler.in_flight().is_empty());

        // Empty engines that report warm must accept requests again.
        let later = Moment::from_millis(model.now + 60_000);
        scheduler.set_engines(&(0..ENGINES).map(engine).collect::<Vec<_>>(), now);
        for number in 0..ENGINES {
            scheduler.report(&endpoint(number), &warm_report(0), later);
        }
        let retry_at = Moment::from_millis(model.now + 120_000);
        let final_request = GenerationRequest {
            deadline: Moment::from_millis(model.now + 400_000),
            ..request(9_999, false)
        };
        let verdict = scheduler.admit(&final_request, retry_at);
        let is_admitted = matches!(verdict, Verdict::Go { .. });
        prop_assert!(is_admitted, "{:?}", verdict);
        Ok(())
    });
}

// Guards against decisions that can't be replayed after an incident: the same events at the same
// moments give the same decisions, independent of the wall clock and of memory layout.
#[test]
fn same_events_same_decisions() {
    check(&prop::collection::vec(step(), 1..300), |steps| {
        let mut logs = Vec::new();
        for _ in 0..2 {
            let mut model = Model::default();
            model.play(&mut new_scheduler(), &steps)?;
            logs.push(model.log);
        }
        prop_assert_eq!(&logs[0], &logs[1]);
        Ok(())
    });
}

// Guards against unfair queues: while several workspaces wait, none gets ahead of another by more
// than the cost of one request of each.
#[test]
fn order_is_fair_whatever_the_costs() {
    let costs = prop::collection::vec((0..3_usize, 1..5_000_u32), 60..200);
    check(&costs, |costs| {
        let mut lane = Lane::new();
        let mut cost = BTreeMap::new();
        for (ticket, (workspace_index, amount)) in (0..).zip(&costs) {
            lane.push(&GenerationRequest {
                workspace: workspace(*workspace_index),
                ..request(ticket, true)
            });
            cost.insert(Ticket(ticket), f64::from(*amount));
        }
        let max_cost = f64::from(costs.iter().map(|(_, c)| *c).max().unwrap_or(0));
        let mut served_costs: BTreeMap<WorkspaceId, f64> = BTreeMap::new();
        while lane.workspaces() == 3 {
            let Some(head) = lane.heads().next().cloned() else { break };
            lane.take(head.ticket, cost[&head.ticket]);
            *served_costs.entry(head.workspace).or_default() += cost[&head.ticket];
            let highest = served_costs.values().copied().fold(0.0, f64::max);
            let lowest = if served_costs.len() < 3 {
                0.0
            } else {
                served_costs.values().copied().fold(f64::MAX, f64::min)
            };
            prop_assert!(highest - lowest <= 2.0 * max_cost, "{:?}", served_costs);
        }
        Ok(())
    });
}
