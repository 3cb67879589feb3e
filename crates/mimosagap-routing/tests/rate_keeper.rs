//! The keeper of a target grants slots at the rate that the target names.

use std::time::Duration;

use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::keeper_selection::{
    DEPUTY_FRACTION, KeeperSelector, MAX_PROOF_AGE, rate_fraction,
};
use mimosagap_routing::rate_keeper::{PermitAsk, PermitClass, PermitDecision, RateKeeper};
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use mimosagap_types::prelude::*;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);

/// One request per second.
const RATE: f64 = 1.0;

fn ask(class: PermitClass, max_wait_ms: u64) -> PermitAsk {
    PermitAsk {
        host_hash: 1,
        class,
        max_wait: Duration::from_millis(max_wait_ms),
        demand: 10.0,
    }
}

fn is_granted(keeper: &mut RateKeeper, ask: &PermitAsk, now: Duration) -> bool {
    matches!(keeper.decide(ask, RATE, now), PermitDecision::Granted(_))
}

/// The hosts that were not told yet, or the keeper before this one, may just have sent a request.
#[test]
fn a_new_keeper_grants_nothing_in_the_first_interval() {
    let mut keeper = RateKeeper::new(RATE, NOW);
    let first = ask(PermitClass::First(0), 0);
    let interval = Duration::from_secs(1);
    assert!(!is_granted(
        &mut keeper,
        &first,
        NOW + interval.mul_f64(0.9)
    ));
    assert!(is_granted(&mut keeper, &first, NOW + interval));
    assert!(!is_granted(&mut keeper, &first, NOW + interval));
}

/// A target that nobody asks for is not flooded afterwards.
#[test]
fn an_idle_keeper_saves_two_slots_at_most() {
    let mut keeper = RateKeeper::new(RATE, NOW);
    let first = ask(PermitClass::First(0), 0);
    let granted =
        (0..10).filter(|_| is_granted(&mut keeper, &first, NOW + Duration::from_hours(1)));
    assert_eq!(granted.count(), 2);
}

/// All targets of a service are limited: running generations go first, then urgent requests, and
/// second sends get nothing that somebody waits for.
#[test]
fn the_order_follows_the_class() {
    let mut keeper = RateKeeper::new(RATE, NOW);
    // The next slot begins in 400 ms.
    let now = NOW + Duration::from_millis(600);
    assert!(!is_granted(&mut keeper, &ask(PermitClass::Spare, 500), now));
    assert!(!is_granted(
        &mut keeper,
        &ask(PermitClass::First(1), 500),
        now
    ));
    assert!(is_granted(
        &mut keeper,
        &ask(PermitClass::First(0), 500),
        now
    ));
    assert!(!is_granted(
        &mut keeper,
        &ask(PermitClass::Continuation, 500),
        now
    ));
    let later = NOW + Duration::from_secs(3);
    assert!(is_granted(&mut keeper, &ask(PermitClass::Spare, 0), later));
}

#[test]
fn a_request_waits_for_its_slot_and_not_longer() {
    let mut keeper = RateKeeper::new(RATE, NOW);
    let now = NOW + Duration::from_millis(900);
    let decision = keeper.decide(&ask(PermitClass::First(0), 200), RATE, now);
    assert_eq!(
        decision,
        PermitDecision::Granted(Duration::from_millis(100))
    );
    let decision = keeper.decide(&ask(PermitClass::First(0), 200), RATE, now);
    let PermitDecision::Denied { ask_in, .. } = decision else {
        panic!("the slot after that begins in 1.1 s: {decision:?}");
    };
    assert!(ask_in >= Duration::from_millis(900), "{ask_in:?}");
}

/// The busier of two hosts asks again sooner, so that its callers get their part of the rate.
#[test]
fn a_denied_host_returns_in_proportion_to_its_demand() {
    let mut keeper = RateKeeper::new(10.0, NOW);
    // Just before the first slot begins.
    let now = NOW + Duration::from_millis(95);
    let mut hold = |host_hash, demand| {
        let ask = PermitAsk {
            host_hash,
            demand,
            ..ask(PermitClass::First(0), 0)
        };
        match keeper.decide(&ask, 10.0, now) {
            PermitDecision::Denied { ask_in, .. } => ask_in,
            PermitDecision::Granted(_) => panic!("the first slot has not begun"),
        }
    };
    hold(1, 30.0);
    let quiet = hold(2, 10.0);
    let busy = hold(1, 30.0);
    assert!(quiet > busy.mul_f64(2.0), "{quiet:?} and {busy:?}");
}

/// A limit near 0 that is raised must not leave the next slot hours away.
#[test]
fn a_raised_rate_brings_the_next_slot_forward() {
    let mut keeper = RateKeeper::new(0.001, NOW);
    let first = ask(PermitClass::First(0), 0);
    let decision = keeper.decide(&first, 10.0, NOW + Duration::from_secs(1));
    let PermitDecision::Denied { ask_in, .. } = decision else {
        panic!("{decision:?}");
    };
    assert!(ask_in <= Duration::from_millis(100), "{ask_in:?}");
}

fn record(region: &str) -> HostRecord {
    HostRecord {
        caller_address: ([10, 0, 0, 1], 8740).into(),
        peer_address: ([10, 0, 0, 1], 7200).into(),
        zone: ZoneName::new("z"),
        region: RegionName::new(region),
        capacity: HostCapacity::default(),
        features: Vec::new(),
    }
}

/// Hosts "a1" to "a3" of region "a" and "b1" of region "b", registered in this order.
fn host_table() -> HostTable {
    let mut hosts = HostTable::default();
    for (name, revision) in [("a2", 5), ("a1", 7), ("a3", 9), ("b1", 2)] {
        hosts.upsert(name, record(&name[..1]), store_revision(revision));
    }
    hosts
}

fn selected(hosts: &HostTable, region: &str, now: Duration) -> Option<String> {
    let region = RegionName::new(region);
    let selected = KeeperSelector::default();
    let selected = selected.select(hosts, Some(&region), now);
    selected.map(|(name, _)| name.to_owned())
}

/// A host that joins, or was restarted, must not take over: the keeper before it still grants.
#[rstest]
#[case::longest_registered_of_the_region("a", "a2")]
#[case::region_without_hosts("c", "b1")]
fn the_keeper_is_the_host_that_was_registered_longest(
    #[case] region: &str,
    #[case] expected: &str,
) {
    let mut hosts = host_table();
    assert_eq!(selected(&hosts, region, NOW).as_deref(), Some(expected));
    hosts.upsert("a0", record("a"), store_revision(11));
    assert_eq!(selected(&hosts, region, NOW).as_deref(), Some(expected));
}

#[test]
fn a_host_that_registers_anew_comes_last() {
    let mut hosts = host_table();
    hosts.upsert("a2", record("a"), store_revision(12));
    assert_eq!(selected(&hosts, "a", NOW).as_deref(), Some("a1"));
}

/// A single lost datagram must not make the deputy grant in addition to the keeper.
#[test]
fn the_deputy_is_asked_after_two_failures_and_for_a_second() {
    let hosts = host_table();
    let region = RegionName::new("a");
    let mut selector = KeeperSelector::default();
    let name = |selector: &KeeperSelector, now| {
        let selected = selector.select(&hosts, Some(&region), now);
        selected.map(|(name, _)| name.to_owned())
    };
    selector.record_failure("a2", NOW);
    assert_eq!(name(&selector, NOW).as_deref(), Some("a2"));
    selector.record_failure("a2", NOW);
    assert_eq!(name(&selector, NOW).as_deref(), Some("a1"));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(name(&selector, later).as_deref(), Some("a2"));
    selector.record_response("a2");
    assert_eq!(name(&selector, NOW).as_deref(), Some("a2"));
}

#[rstest]
#[case::proved_keeper("a2", Some(0), 1.0)]
#[case::keeper_without_recent_proof("a2", Some(4), DEPUTY_FRACTION)]
#[case::keeper_that_never_read_the_store("a2", None, DEPUTY_FRACTION)]
#[case::deputy("a1", Some(0), DEPUTY_FRACTION)]
#[case::unlisted("a9", Some(0), DEPUTY_FRACTION)]
fn only_a_proved_keeper_grants_the_whole_rate(
    #[case] host: &str,
    #[case] proof_age_secs: Option<u64>,
    #[case] expected: f64,
) {
    let region = RegionName::new("a");
    let proof_age = proof_age_secs.map(Duration::from_secs);
    assert!(proof_age.is_none_or(|age| age.is_zero() || age > MAX_PROOF_AGE));
    let fraction = rate_fraction(&host_table(), Some(&region), host, proof_age);
    assert!((fraction - expected).abs() < f64::EPSILON, "{fraction}");
}

fn store_revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(1), number)
}
