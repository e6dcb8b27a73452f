//! The records of services' versions, kept by several instances.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::version_record::{ServiceVersions, StoredVersions, VersionsWrite};
use nutmeggrade_state::stream_table::STREAM_RETENTION;
use nutmeggrade_state::version_keeper::VersionKeeper;
use proptest::prelude::*;

use super::play;

const INSTANCES: usize = 3;
const VERSIONS: usize = 3;
/// Time without reading after which an instance takes all versions for new.
const MAX_GAP: Duration = Duration::from_secs(30);

type Versions = BTreeSet<VersionId>;

#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    Delayed,
}

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Join(usize),
    Leave(usize),
    Read(usize),
    /// One call to the store of an instance that is about to apply what it has read.
    Record(usize, Fate),
    /// One check of an instance that takes itself for the first reader.
    Check(usize, Fate),
    /// The store executes a delayed write.
    Execute,
    Restart(usize),
    Begin(usize, usize),
}

fn steps() -> impl Strategy<Value = Step> {
    let (instance, version) = (0..INSTANCES, 0..VERSIONS);
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Delayed)
    ];
    prop_oneof![
        6 => (0..40_000_u64).prop_map(Step::Pass),
        2 => version.clone().prop_map(Step::Join),
        2 => version.clone().prop_map(Step::Leave),
        8 => instance.clone().prop_map(Step::Read),
        8 => (instance.clone(), fate.clone()).prop_map(|(i, fate)| Step::Record(i, fate)),
        8 => (instance.clone(), fate).prop_map(|(i, fate)| Step::Check(i, fate)),
        1 => Just(Step::Execute),
        1 => instance.clone().prop_map(Step::Restart),
        4 => (instance, version).prop_map(|(i, version)| Step::Begin(i, version)),
    ]
}

fn service() -> ServiceId {
    ServiceId::new("writers").expect("an id")
}

fn version(number: usize) -> VersionId {
    VersionId::new(&format!("v{number}")).expect("an id")
}

fn of_service(versions: &Versions) -> ServiceVersions {
    ServiceVersions::from([(service(), versions.clone())])
}

/// The platform's store: the versions that have endpoints, and the record.
#[derive(Default)]
struct Store {
    revision: u64,
    live: Versions,
    record: Option<StoredVersions>,
    delayed: Vec<VersionsWrite>,
}

impl Store {
    fn records(&self) -> Vec<StoredVersions> {
        self.record.iter().cloned().collect()
    }

    /// Executes a write if its condition holds; returns the record that there is then.
    fn execute(&mut self, write: &VersionsWrite) -> Option<StoredVersions> {
        if self.record.as_ref().map(|stored| stored.revision) == write.revision {
            self.revision += 1;
            let (service, record) = (write.service.clone(), Some(write.record.clone()));
            self.record = Some(StoredVersions { service, revision: self.revision, record });
        }
        self.record.clone()
    }
}

#[derive(Default)]
struct Reader {
    keeper: VersionKeeper,
    view: Versions,
    read: u64,
    read_at: Moment,
    /// What was read and is not applied yet, whether the records were listed since, and the revision.
    unapplied: Option<(Versions, bool, u64)>,
}

impl Reader {
    fn read(&mut self, store: &Store, now: Moment) {
        let is_gap = now.since(self.read_at) > MAX_GAP;
        self.read_at = now;
        if is_gap {
            self.keeper.forget();
        }
        if is_gap || !store.live.is_subset(&self.view) {
            self.unapplied = Some((store.live.clone(), false, store.revision));
        } else if self.unapplied.is_none() {
            (self.view, self.read) = (store.live.clone(), store.revision);
        }
    }

    fn record(&mut self, store: &mut Store, fate: Fate) {
        let Some((versions, is_listed, revision)) = self.unapplied.take() else { return };
        if !is_listed {
            self.keeper.replace(store.records());
        }
        let planned = self.keeper.additions(&of_service(&versions));
        let Some(write) = planned.first() else {
            (self.view, self.read) = (versions, revision);
            return;
        };
        let is_listed = self.perform(store, write, fate);
        self.unapplied = Some((versions, is_listed, revision));
    }

    fn check(&mut self, store: &mut Store, now: Moment, fate: Fate) {
        if self.unapplied.is_some() {
            return;
        }
        if !self.keeper.is_loaded() {
            self.keeper.replace(store.records());
        }
        let live = of_service(&self.view);
        let mut planned = self.keeper.additions(&live);
        planned.extend(self.keeper.retirements(&live, self.read, now));
        if let Some(write) = planned.first() {
            self.perform(store, write, fate);
        }
    }

    /// Performs a write; returns whether its answer came.
    fn perform(&mut self, store: &mut Store, write: &VersionsWrite, fate: Fate) -> bool {
        match fate {
            Fate::Answered => {
                if let Some(stored) = store.execute(write) {
                    self.keeper.put(stored);
                }
                return true;
            }
            Fate::AnswerLost => drop(store.execute(write)),
            Fate::Delayed => store.delayed.push(write.clone()),
        }
        self.keeper.forget();
        false
    }
}

fn run(steps: &[Step]) -> Result<(), String> {
    let mut store = Store::default();
    let mut readers: Vec<Reader> = (0..INSTANCES).map(|_| Reader::default()).collect();
    let mut streams: Vec<(VersionId, Moment)> = Vec::new();
    let mut now = Moment::ZERO;
    for step in steps {
        match step {
            Step::Pass(ms) => now = now.after(Duration::from_millis(*ms)),
            Step::Join(number) => {
                store.revision += u64::from(store.live.insert(version(*number)));
            }
            Step::Leave(number) => {
                store.revision += u64::from(store.live.remove(&version(*number)));
            }
            Step::Read(i) => readers[*i].read(&store, now),
            Step::Record(i, fate) => readers[*i].record(&mut store, *fate),
            Step::Check(i, fate) => readers[*i].check(&mut store, now, *fate),
            Step::Execute => {
                if let Some(write) = store.delayed.pop() {
                    store.execute(&write);
                }
            }
            Step::Restart(i) => readers[*i] = Reader::default(),
            Step::Begin(i, number) => {
                let (reader, version) = (&readers[*i], version(*number));
                let is_current = now.since(reader.read_at) <= MAX_GAP;
                if is_current && reader.view.contains(&version) && store.live.contains(&version) {
                    streams.push((version, now));
                }
            }
        }
        streams.retain(|(_, began)| now.since(*began) <= STREAM_RETENTION);
        let record = store.record.as_ref().and_then(|stored| stored.record.as_ref());
        let is_recorded = |v: &VersionId| record.is_some_and(|r| r.versions.contains_key(v));
        if let Some((version, began)) = streams.iter().find(|(v, _)| !is_recorded(v)) {
            return Err(format!("{version} of {began:?} isn't recorded at {now:?}: {record:?}"));
        }
    }
    Ok(())
}

// Guards against a version that is not recorded while clients may take up a stream that began at it,
// whichever instances read late, restart or lose the answers of the store.
#[test]
fn versions_stay_recorded_as_long_as_their_streams_are_taken_up() {
    play("version_records", steps(), run);
}
