//! Tests of what hosts believe of engines that may be cold.

#[path = "support/options.rs"]
mod options;
mod support;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use mimosagap_routing::cold_rate::{
    COLD_PERMIT_FEATURE, ColdBound, ColdClaim, ColdSpec, ColdState, LocalShare, keeper_fraction,
};
use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::keeper_selection::KeeperSelector;
use mimosagap_routing::placement::{place_call, place_generation};
use mimosagap_routing::rate_keeper::RateKeeper;
use mimosagap_routing::residency::{PermittedTarget, UNRESTRICTED};
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use mimosagap_routing::targets::{Locality, TargetTable};
use mimosagap_types::prelude::*;
use options::long_generation_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use support::{NOW, engines, entry, service};

const SECOND: Duration = Duration::from_secs(1);

fn spec() -> ColdSpec {
    ColdSpec::new(22.0, Some(20.0)).expect("the rate is positive")
}

fn state() -> ColdState {
    let mut state = ColdState::default();
    state.set_spec(Some(spec()), &ColdBound::default());
    state
}

/// Guards against settings that lift the bound by mistake: only 0 does.
#[rstest]
#[case::no_bound(0.0, None)]
#[case::valid(22.0, Some(22.0))]
#[case::negative(-22.0, Some(1.0))]
#[case::no_number(f64::NAN, Some(1.0))]
#[case::huge(f64::INFINITY, Some(1e6))]
fn invalid_rates_send_less(#[case] per_second: f64, #[case] expected: Option<f64>) {
    let spec = ColdSpec::new(per_second, Some(20.0));
    assert_eq!(spec.map(|spec| spec.per_second), expected);
}

/// Guards against a bound that the keeper, a former keeper and a deputy exceed together.
#[rstest]
#[case::intended(1.5, 5.0, 22.0)]
#[case::no_margin(1.0, 0.0, 12.0)]
#[case::unreadable(f64::NAN, 5.0, 1.0)]
fn a_narrow_bound_lowers_the_rate(
    #[case] overshoot: f64,
    #[case] slack: f64,
    #[case] expected: f64,
) {
    let rate = spec().granted_rate(&ColdBound { overshoot, slack });
    assert!((rate - expected).abs() < 0.1, "{rate} a second");
}

/// Guards against claims that make an engine warm too early or keep it cold for ever.
#[rstest]
#[case::unstated(ColdClaim::Unstated, 0, false)]
#[case::valid(ColdClaim::from_milliseconds(8000.0), 8, false)]
#[case::somewhat_long(ColdClaim::from_milliseconds(70_000.0), 70, false)]
#[case::too_long(ColdClaim::from_milliseconds(81_000.0), 20, true)]
#[case::negative(ColdClaim::from_milliseconds(-1.0), 20, true)]
#[case::no_number(ColdClaim::from_milliseconds(f64::NAN), 20, true)]
#[case::huge(ColdClaim::from_milliseconds(1e300), 20, true)]
fn a_claim_counts_as_the_time_that_sends_less(
    #[case] claim: ColdClaim,
    #[case] secs: u64,
    #[case] is_corrected: bool,
) {
    let expected = (Duration::from_secs(secs), is_corrected);
    assert_eq!(claim.cold_time(&spec()), expected);
}

/// Guards against a later claim, or the entry of a new engine, that cuts the cold time short.
#[test]
fn a_listed_engine_is_cold_whatever_it_says() {
    let mut state = state();
    state.record_start(NOW);
    assert!(!state.record_claim(ColdClaim::Remaining(Duration::ZERO), NOW));
    assert!(state.is_cold(NOW + 19 * SECOND));
    assert!(!state.is_cold(NOW + 20 * SECOND));
    let again = ColdClaim::Remaining(5 * SECOND);
    assert!(state.record_claim(again, NOW + 30 * SECOND));
    assert!(state.is_cold(NOW + 34 * SECOND));
}

/// Guards against a changed decision where a service names no rate.
#[test]
fn nothing_changes_without_a_rate() {
    let (mut targets, keys) = engines(&["a"]);
    targets.set_cold_specs(HashMap::new());
    let target = targets
        .get_mut(keys[0])
        .expect("the target is in the table");
    target.cold.record_start(NOW);
    target.cold.record_claim(ColdClaim::Invalid, NOW);
    target.hold(5 * SECOND, 3.0, NOW);
    assert!(!target.cold.is_cold(NOW));
    assert_eq!(target.permit_rate(NOW), None);
    assert_eq!(target.hold_time(NOW), Duration::ZERO);
    let called = place_call(&targets, &service(), &[], &UNRESTRICTED, NOW);
    assert_eq!(called.map(PermittedTarget::key), Some(keys[0]));
}

fn can_place(targets: &TargetTable, now: Duration) -> bool {
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let options = long_generation_options(&service, &home_zone);
    let mut rng = SmallRng::seed_from_u64(1);
    place_generation(targets, &options, |_, _| true, now, &mut rng).is_some()
}

/// Guards against requests without a permit at engines that are cold after their listing, by what
/// they say, or after their zone is back in service, and against permits for warm ones.
#[test]
fn a_rate_holds_for_cold_engines() {
    let (mut targets, keys) = engines(&["a"]);
    targets.set_cold_specs(HashMap::from([(service(), spec())]));
    let rate = |targets: &TargetTable, key, now| {
        let target = targets.get(key).expect("the target is in the table");
        target.permit_rate(now)
    };
    assert_eq!(rate(&targets, keys[0], NOW), None);
    let late = targets.upsert(entry(7, "a"), Locality::SameZone, NOW).0;
    assert_eq!(rate(&targets, late, NOW), Some(22.0));
    let target = targets
        .get_mut(keys[0])
        .expect("the target is in the table");
    target.cold.record_claim(ColdClaim::Remaining(SECOND), NOW);
    for key in [keys[0], late] {
        assert_eq!(rate(&targets, key, NOW), Some(22.0));
        let target = targets.get_mut(key).expect("the target is in the table");
        target.hold(SECOND, 1.0, NOW);
    }
    assert!(!can_place(&targets, NOW));
    assert!(can_place(&targets, NOW + SECOND));
    let later = NOW + 30 * SECOND;
    assert_eq!(rate(&targets, keys[0], later), None);
    let zone = ZoneName::new("a");
    targets.set_evacuated_zones(BTreeSet::from([zone]), later);
    targets.set_evacuated_zones(BTreeSet::new(), later + SECOND);
    assert_eq!(rate(&targets, keys[0], later + 3 * SECOND), Some(22.0));
}

/// Guards against an engine that counts as warm because it comes back under its old entry.
#[test]
fn an_engine_that_is_listed_again_is_cold() {
    let (mut targets, keys) = engines(&["a"]);
    targets.set_cold_specs(HashMap::from([(service(), spec())]));
    targets.mark_removed("i-0", NOW);
    let (key, _) = targets.upsert(entry(0, "a"), Locality::SameZone, NOW + SECOND);
    assert_eq!(key, keys[0]);
    let target = targets.get(key).expect("the target is in the table");
    assert!(target.cold.is_cold(NOW + 20 * SECOND));
}

/// Guards against a host that sends to a cold engine, or more than once in a second, because it
/// reaches no keeper.
#[test]
fn a_local_share_is_one_request_at_a_warm_engine() {
    let share = LocalShare::new(1, "i-1", 1);
    let mut state = state();
    assert_eq!(state.use_local_share(&share, NOW), Some(Duration::ZERO));
    let again = state.use_local_share(&share, NOW + SECOND / 4);
    assert_eq!(again, Some(SECOND * 3 / 4));
    state.record_start(NOW);
    assert_eq!(state.use_local_share(&share, NOW + SECOND), None);
}

/// Guards against a rate whose interval is beyond the range of a duration, at which the keeper ended
/// its task.
#[rstest]
#[case::tiny(1e-20)]
#[case::smallest(f64::MIN_POSITIVE)]
fn a_tiny_rate_is_kept(#[case] per_second: f64) {
    let spec = ColdSpec::new(per_second, None).expect("the rate is positive");
    let rate = spec.granted_rate(&ColdBound::default());
    let _keeper = RateKeeper::without_burst(rate, SECOND, NOW);
}

/// Guards against hosts without permits during an upgrade: the hosts that are registered longest run
/// the build before, and cannot grant slots.
#[test]
fn hosts_of_an_earlier_build_are_not_asked() {
    let mut hosts = HostTable::default();
    for (number, features) in [(1, vec![]), (2, vec![COLD_PERMIT_FEATURE.to_owned()])] {
        let record = HostRecord {
            caller_address: ([10, 0, 0, number], 80).into(),
            peer_address: ([10, 0, 0, number], 7200).into(),
            zone: ZoneName::new("a"),
            region: RegionName::new("a"),
            capacity: HostCapacity::default(),
            features,
        };
        let revision = StoreRevision::new(StoreEra(1), u64::from(number));
        hosts.upsert(&format!("h{number}"), record, revision);
    }
    let region = RegionName::new("a");
    let selector = KeeperSelector::default();
    let chosen = selector.select_among(2, COLD_PERMIT_FEATURE, &hosts, Some(&region), NOW);
    assert_eq!(chosen.map(|(name, _)| name), Some("h2"));
    let fraction = |host| keeper_fraction(&hosts, Some(&region), host, Some(Duration::ZERO));
    assert!(fraction("h1") < f64::EPSILON && fraction("h2") > 0.99);
}
