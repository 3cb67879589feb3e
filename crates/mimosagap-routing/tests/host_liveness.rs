//! Replays hosts that end without notice, and failures that must not look like it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_routing::discovery::host_addresses;
use mimosagap_routing::host_liveness::{
    GRACE_TIME, HostLiveness, LIVENESS_FEATURE, LIVENESS_INTERVAL, SILENCE_TIME,
};
use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::residency::AllowedRegions;
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use mimosagap_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Time after its end for which a host may be listed beside running ones.
const ALLOWED: Duration = Duration::from_secs(8);

const TICK: Duration = Duration::from_millis(500);

const START: Duration = Duration::from_secs(100);

fn address(host: usize) -> SocketAddr {
    let number = u16::try_from(host).expect("the fleet is small");
    ([10, 0, 0, 1], 7000 + number).into()
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

fn record(host: usize, sends_liveness: bool) -> HostRecord {
    HostRecord {
        caller_address: address(host),
        peer_address: address(host),
        zone: ZoneName::new("z"),
        region: RegionName::new("r"),
        capacity: HostCapacity::default(),
        features: sends_liveness
            .then(|| LIVENESS_FEATURE.to_owned())
            .into_iter()
            .collect(),
    }
}

/// What host 0 knows of a fleet while the store is away: no record vanishes.
struct Observer {
    liveness: HostLiveness,
    hosts: HostTable,
    rng: SmallRng,
}

impl Observer {
    fn new(host_count: usize, sends_liveness: bool) -> Self {
        let mut observer = Self {
            liveness: HostLiveness::new(START),
            hosts: HostTable::default(),
            rng: SmallRng::seed_from_u64(1),
        };
        for host in 0..host_count {
            observer.list(host, sends_liveness, StoreEra(1), START);
        }
        observer
    }

    fn list(&mut self, host: usize, sends_liveness: bool, era: StoreEra, now: Duration) {
        let record = record(host, sends_liveness);
        self.liveness.record_listed(record.peer_address, now);
        let revision = StoreRevision::new(era, 1 + host as u64);
        self.hosts.upsert(&name(host), record, revision);
    }

    /// Runs ticks up to a time; each host of `running` sends at its own moment of the interval.
    fn run(&mut self, span: (Duration, Duration), running: &[usize], loss: f64) {
        let mut now = span.0;
        while now < span.1 {
            for host in running {
                let offset = TICK * (u32::try_from(*host).expect("the fleet is small") % 4);
                let is_due = (now + offset)
                    .as_millis()
                    .is_multiple_of(LIVENESS_INTERVAL.as_millis());
                if is_due && !self.rng.random_bool(loss) {
                    self.liveness.record_datagram(address(*host), now);
                }
            }
            self.tick(now);
            now += TICK;
        }
    }

    fn tick(&mut self, now: Duration) {
        self.liveness.record_tick(now);
        let silent = self.liveness.silent_hosts(&self.hosts, &name(0), now);
        self.hosts.set_silent(&silent);
    }

    fn listed(&self) -> BTreeSet<SocketAddr> {
        let (zone, region) = (ZoneName::new("z"), RegionName::new("r"));
        host_addresses(
            &self.hosts,
            Some(&zone),
            Some(&region),
            None,
            &AllowedRegions::Any,
        )
        .into_iter()
        .collect()
    }
}

fn addresses(hosts: impl Iterator<Item = usize>) -> BTreeSet<SocketAddr> {
    hosts.map(address).collect()
}

/// Guards against addresses of killed hosts in answers while the store is away. Without the part,
/// which earlier records stand for, the same replay lists them for ever.
#[rstest]
fn a_killed_host_is_left_out_in_time(
    #[values(3, 6, 60)] host_count: usize,
    #[values(0.0, 0.05)] loss: f64,
) {
    let killed_at = START + Duration::from_secs(30);
    let replay = |sends_liveness: bool| {
        let mut observer = Observer::new(host_count, sends_liveness);
        let all: Vec<usize> = (1..host_count).collect();
        observer.run((START, killed_at), &all, loss);
        observer.run((killed_at, killed_at + ALLOWED), &all[1..], loss);
        observer.listed().contains(&address(1))
    };
    assert!(!replay(true), "listed after {ALLOWED:?}");
    assert!(replay(false), "earlier builds are not judged");
}

/// Guards against running hosts that are left out: none without loss, few with it.
#[rstest]
#[case::no_loss(0.0, 0.0)]
#[case::some_loss(0.05, 0.002)]
fn running_hosts_stay_listed(#[case] loss: f64, #[case] allowed_fraction: f64) {
    let mut observer = Observer::new(60, true);
    let all: Vec<usize> = (1..60).collect();
    let mut left_out = 0;
    let mut now = START;
    for _ in 0..600 {
        observer.run((now, now + TICK), &all, loss);
        left_out += 60 - observer.listed().len();
        now += TICK;
    }
    let fraction = f64::from(u32::try_from(left_out).expect("the count is small")) / 36_000.0;
    assert!(fraction <= allowed_fraction, "{fraction} of the answers");
}

/// Guards against a host that leaves out the whole fleet because its own link fails.
#[test]
fn a_host_that_hears_nobody_leaves_nobody_out() {
    let mut observer = Observer::new(6, true);
    let cut_at = START + Duration::from_secs(20);
    observer.run((START, cut_at), &[1, 2, 3, 4, 5], 0.0);
    observer.run((cut_at, cut_at + Duration::from_secs(30)), &[], 0.0);
    assert_eq!(observer.listed(), addresses(0..6));
}

/// Guards against a judgement by datagrams that a suspended process could not read.
#[test]
fn a_host_that_did_not_run_waits_for_the_others() {
    let mut observer = Observer::new(6, true);
    let suspended_at = START + Duration::from_secs(20);
    observer.run((START, suspended_at), &[1, 2, 3, 4, 5], 0.0);
    let resumed_at = suspended_at + Duration::from_secs(20);
    observer.liveness.record_datagram(address(1), resumed_at);
    observer.tick(resumed_at);
    assert_eq!(observer.listed(), addresses(0..6));
    observer.run((resumed_at, resumed_at + ALLOWED), &[1, 2, 3], 0.0);
    assert_eq!(observer.listed(), addresses(0..4));
}

/// Guards against a restarted host that stays left out.
#[test]
fn a_host_that_starts_again_is_listed_again() {
    let mut observer = Observer::new(4, true);
    let ended_at = START + Duration::from_secs(20);
    observer.run((START, ended_at), &[1, 2, 3], 0.0);
    observer.run((ended_at, ended_at + ALLOWED), &[1, 2], 0.0);
    assert_eq!(observer.listed(), addresses(0..3));
    let started_at = ended_at + ALLOWED;
    observer.list(3, true, StoreEra(1), started_at);
    observer.run(
        (started_at, started_at + LIVENESS_INTERVAL + TICK),
        &[1, 2, 3],
        0.0,
    );
    assert_eq!(observer.listed(), addresses(0..4));
}

/// Guards against hosts that a store lists again when it comes back from an older copy.
#[test]
fn an_older_copy_of_the_store_does_not_revive_a_host() {
    let mut observer = Observer::new(4, true);
    let ended_at = START + Duration::from_secs(20);
    observer.run((START, ended_at), &[1, 2, 3], 0.0);
    observer.run((ended_at, ended_at + ALLOWED), &[1, 2], 0.0);
    for host in 0..4 {
        observer.list(host, true, StoreEra(2), ended_at + ALLOWED);
    }
    assert_eq!(observer.listed(), addresses(0..3));
}

/// Guards against a host that has just started and lists for long what ended before.
#[test]
fn a_host_that_just_started_judges_after_the_grace_time() {
    let mut observer = Observer::new(4, true);
    observer.run((START, START + GRACE_TIME), &[1, 2], 0.0);
    assert_eq!(observer.listed(), addresses(0..4));
    observer.run((START + GRACE_TIME, START + SILENCE_TIME), &[1, 2], 0.0);
    assert_eq!(observer.listed(), addresses(0..3));
}
