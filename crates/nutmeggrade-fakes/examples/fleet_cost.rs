//! Measures the cost of fleet membership for one instance at five fleet sizes:
//! `cargo run --release --example fleet_cost`.
//!
//! The last column is the share of a core that is used when each peer's heartbeats and changes
//! arrive at the rates that the gossip rules give.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use nutmeggrade_core::peer::{
    Contacts, FleetBeacon, FleetMessage, InstanceAddresses, InstanceLoad, Introduction, Revisions,
    WaitingReport, open, seal,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::PlacedLoad;
use nutmeggrade_policy::dispatch::LoadTable;
use nutmeggrade_state::fleet_view::{FleetView, HEARTBEAT_INTERVAL, RelayOrder};

/// Numbers of instances.
const SIZES: [u32; 5] = [30, 100, 300, 1_000, 2_000];
/// Number of failure domains.
const DOMAINS: u32 = 5;
/// Number of rounds over which each cost is averaged.
const ROUNDS: u32 = 2_000;
/// Number of engines on which each instance has work.
const ENGINES_PER_INSTANCE: u32 = 2;
/// Membership checks per second.
const CHECKS_PER_SECOND: f64 = 10.0;
/// Changes of placed work per instance and second.
const CHANGES_PER_SECOND: f64 = 1.3;
const PEER_KEY: [u8; 32] = [7; 32];

fn instance_id(number: u32) -> anyhow::Result<InstanceId> {
    Ok(InstanceId::new(&format!("instance-{number}"))?)
}

fn addresses(number: u32) -> anyhow::Result<InstanceAddresses> {
    let [_, _, high, low] = number.to_be_bytes();
    let at = |port| SocketAddr::from(([10, 0, high, low], port));
    let domain = DomainId::new(&format!("domain-{}", number % DOMAINS))?;
    Ok(InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) })
}

fn placed(number: u32) -> anyhow::Result<BTreeMap<EndpointId, PlacedLoad>> {
    let counts = PlacedLoad { requests: 1, memory: 3_500, reading: 0, moving: 0 };
    let place = |n| Ok((EndpointId::new(&format!("engine-{}", (number * 7 + n) % 97))?, counts));
    (0..ENGINES_PER_INSTANCE).map(place).collect()
}

fn beacon(number: u32, sequence: u64) -> anyhow::Result<FleetBeacon> {
    let introduction = Introduction { sender: addresses(number)?, contacts: Contacts::new() };
    Ok(FleetBeacon {
        instance: instance_id(number)?,
        incarnation: 1,
        sequence,
        introduction: (sequence == 1).then_some(introduction),
        leaving: false,
        reads: true,
        unreachable: Vec::new(),
        revisions: Revisions::default(),
        placed: placed(number)?,
        rollouts: Vec::new(),
        crashes: Vec::new(),
        part_crashes: Vec::new(),
        heard: Vec::new(),
        waiting: WaitingReport::default(),
    })
}

/// An instance's view of the fleet.
struct InstanceView {
    view: FleetView,
    load_table: LoadTable,
    size: u32,
    now: Moment,
}

impl InstanceView {
    fn new(size: u32) -> anyhow::Result<Self> {
        let view = FleetView::new(&instance_id(0)?, &addresses(0)?, &[]);
        let now = Moment::from_millis(60_000);
        let mut instance = Self { view, load_table: LoadTable::new(), size, now };
        for number in 1..size {
            instance.receive(&beacon(number, 1)?);
        }
        Ok(instance)
    }

    fn receive(&mut self, beacon: &FleetBeacon) {
        if self.view.receive_heartbeat(beacon, self.now) {
            self.load_table.set_peer(&beacon.instance, &beacon.placed);
        }
    }

    /// Returns the mean time to decode and apply a heartbeat, in microseconds.
    fn heartbeat_micros(&mut self) -> anyhow::Result<f64> {
        let frame = |round| {
            let number = 1 + round % (self.size - 1);
            let beacon = Box::new(beacon(number, u64::from(round) + 2)?);
            Ok(seal(&FleetMessage::Beacon(beacon), &PEER_KEY).unwrap_or_default())
        };
        let frames: Vec<Vec<u8>> = (0..ROUNDS).map(frame).collect::<anyhow::Result<_>>()?;
        let start = Instant::now();
        for frame in &frames {
            if let Ok(FleetMessage::Beacon(beacon)) = open(frame, &PEER_KEY) {
                self.receive(&beacon);
            }
        }
        Ok(mean_micros(start))
    }

    /// Returns the mean time to decode and apply a peer's change of placed work, in microseconds.
    fn change_micros(&mut self) -> anyhow::Result<f64> {
        let frame = |round| {
            let number = 1 + round % (self.size - 1);
            let placed = InstanceLoad::new(instance_id(number)?, placed(number)?);
            Ok(seal(&FleetMessage::Placed(vec![placed]), &PEER_KEY).unwrap_or_default())
        };
        let frames: Vec<Vec<u8>> = (0..ROUNDS).map(frame).collect::<anyhow::Result<_>>()?;
        let start = Instant::now();
        for frame in &frames {
            if let Ok(FleetMessage::Placed(all)) = open(frame, &PEER_KEY) {
                for InstanceLoad { instance, placed, .. } in all {
                    self.load_table.change_peer(&instance, &placed);
                }
            }
        }
        Ok(mean_micros(start))
    }

    /// Returns the mean time of a periodic membership check, in microseconds.
    fn check_micros(&mut self) -> f64 {
        let start = Instant::now();
        for _ in 0..ROUNDS {
            black_box((
                self.view.check_silence(self.now),
                self.view.instance_count(self.now),
                self.view.is_reader(self.now),
            ));
        }
        mean_micros(start)
    }

    /// Returns the number of heartbeats per second that an instance sends, and also receives.
    fn heartbeats_per_second(&mut self) -> f64 {
        self.view.targets().len() as f64 / HEARTBEAT_INTERVAL.as_secs_f64()
    }

    /// Returns the mean time to select the recipients of a broadcast, in microseconds.
    fn recipients_micros(&self) -> f64 {
        let start = Instant::now();
        for _ in 0..ROUNDS {
            black_box(self.view.broadcast_recipients(RelayOrder::Common, self.now));
        }
        mean_micros(start)
    }
}

fn mean_micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn main() -> anyhow::Result<()> {
    println!("| instances | heartbeat, µs | change, µs | look, µs | audience, µs | of a core |");
    println!("|---|---|---|---|---|---|");
    for size in SIZES {
        let mut instance = InstanceView::new(size)?;
        let (heartbeat_micros, change_micros) =
            (instance.heartbeat_micros()?, instance.change_micros()?);
        let (check_micros, recipients_micros) =
            (instance.check_micros(), instance.recipients_micros());
        let micros_per_second = heartbeat_micros * instance.heartbeats_per_second()
            + change_micros * CHANGES_PER_SECOND * f64::from(size)
            + check_micros * CHECKS_PER_SECOND
            + recipients_micros * CHANGES_PER_SECOND;
        println!(
            "| {size} | {heartbeat_micros:.1} | {change_micros:.1} | {check_micros:.1} | {recipients_micros:.1} | {:.3}% |",
            micros_per_second / 1e4
        );
    }
    Ok(())
}
