//! Requests that routes and teams restrict to some regions, while targets and hosts of all regions
//! are known.

#[path = "support/options.rs"]
mod options;
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use mimosagap_routing::discovery::host_addresses;
use mimosagap_routing::hedging::{HedgePlanner, SizeClass};
use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::migration::choose_destination;
use mimosagap_routing::placement::{PlacementOptions, may_place_on, place_call, place_generation};
use mimosagap_routing::region_contention::{CONTENTION_TTL, NOTICE_INTERVAL, RegionContention};
use mimosagap_routing::relay_selection::RelaySelector;
use mimosagap_routing::residency::{
    AllowedRegions, PermittedTarget, RESIDENCY_FEATURE, ResidencyPolicy, UNRESTRICTED,
    preferred_regions,
};
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use mimosagap_routing::targets::{Locality, TargetKey, TargetOutcome, TargetTable};
use mimosagap_types::prelude::*;
use options::long_generation_options;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{KV_CAPACITY_TOKENS, LONG_GENERATION, NOW, empty_table, engines, entry, service};

/// Regions of the fleet, with two zones each. A list may also name an unknown one.
const REGIONS: [&str; 3] = ["r1", "r2", "r3"];
const LISTABLE: [&str; 4] = ["r1", "r2", "r3", "r9"];

fn zone_regions() -> BTreeMap<ZoneName, RegionName> {
    let zones = REGIONS.iter().flat_map(|region| {
        ["a", "b"].map(|zone| (format!("{region}-{zone}"), RegionName::new(region)))
    });
    zones
        .map(|(zone, region)| (ZoneName::new(&zone), region))
        .collect()
}

fn region_of_zone(zone: &ZoneName) -> &str {
    &zone.as_str()[..2]
}

fn list(names: &[&str]) -> AllowedRegions {
    AllowedRegions::from_list(names.iter().map(|name| RegionName::new(name)))
}

fn policy(lists: &[&AllowedRegions]) -> ResidencyPolicy {
    ResidencyPolicy::new(lists.iter().copied(), |region| {
        REGIONS.contains(&region.as_str())
    })
}

/// The lists of a route and a team as the configuration names them.
#[derive(Debug, Clone)]
struct Lists(Vec<Vec<&'static str>>);

impl Lists {
    fn random(rng: &mut SmallRng) -> Self {
        let mut one_list = || {
            let count = rng.random_range(0..3);
            LISTABLE.choose_multiple(rng, count).copied().collect()
        };
        Self(vec![one_list(), one_list()])
    }

    /// Whether the requirements allow a region, without the code under test.
    fn allow(&self, region: &str) -> bool {
        let is_restricted = self.0.iter().any(|names| !names.is_empty());
        let is_in_all = self
            .0
            .iter()
            .all(|names| names.is_empty() || names.contains(&region));
        !is_restricted || (is_in_all && REGIONS.contains(&region))
    }

    fn is_restricted(&self) -> bool {
        self.0.iter().any(|names| !names.is_empty())
    }

    fn regions(&self) -> Vec<AllowedRegions> {
        self.0.iter().map(|names| list(names)).collect()
    }

    fn policy(&self) -> ResidencyPolicy {
        policy(&self.regions().iter().collect::<Vec<_>>())
    }
}

fn target_table() -> TargetTable {
    empty_table(zone_regions())
}

/// Targets in all states: idle, busy, draining, removed, failing, unreachable and in zones without a
/// known region.
fn random_targets(home_zone: &ZoneName, rng: &mut SmallRng) -> (TargetTable, Vec<TargetKey>) {
    let mut targets = target_table();
    let keys: Vec<TargetKey> = (0..rng.random_range(1..10))
        .map(|number| {
            let zone = ["r1-a", "r1-b", "r2-a", "r2-b", "r3-a", "r3-b", "r9-a"]
                .choose(rng)
                .expect("there are zones");
            let entry = entry(number, zone);
            let locality = targets.locality_between(home_zone, &entry.zone);
            targets.upsert(entry, locality, Duration::ZERO).0
        })
        .collect();
    for key in &keys {
        if rng.random_bool(0.4) {
            let tokens = rng.random_range(0..KV_CAPACITY_TOKENS);
            targets.add_request(*key, tokens, tokens / 4, 1);
        }
        if rng.random_bool(0.15) {
            targets.mark_draining(*key, NOW.saturating_sub(Duration::from_secs(1)));
        }
        if rng.random_bool(0.15) {
            targets.record_outcome(*key, TargetOutcome::Unreachable, NOW);
        }
        if rng.random_bool(0.2) {
            targets.record_outcome(*key, TargetOutcome::Failed, NOW);
        }
    }
    (targets, keys)
}

fn host_record(number: u8, region: &str, features: &[&str]) -> HostRecord {
    HostRecord {
        caller_address: ([10, 0, 0, number], 8740).into(),
        peer_address: ([10, 0, 0, number], 7200).into(),
        zone: ZoneName::new(&format!("{region}-a")),
        region: RegionName::new(region),
        capacity: HostCapacity::default(),
        features: features.iter().map(|name| (*name).to_owned()).collect(),
    }
}

fn revision() -> StoreRevision {
    StoreRevision::new(StoreEra(1), 1)
}

fn random_hosts(rng: &mut SmallRng) -> HostTable {
    let mut hosts = HostTable::default();
    for number in 0..rng.random_range(1..9) {
        let features: &[&str] = if rng.random_bool(0.6) {
            &[RESIDENCY_FEATURE]
        } else {
            &[]
        };
        let region = LISTABLE.choose(rng).expect("there are regions");
        let record = host_record(number, region, features);
        hosts.upsert(&format!("h{number}"), record, revision());
    }
    hosts
}

/// A planner that knows some of the targets as slow.
fn slow_target_planner(
    targets: &TargetTable,
    service: &DeploymentName,
    rng: &mut SmallRng,
) -> HedgePlanner {
    let (route, size) = (ClassName::new("lookup"), SizeClass::new(100));
    let mut planner = HedgePlanner::default();
    for _ in 0..100 {
        let elapsed = Duration::from_millis(20);
        planner.record_response(&route, size, TargetKey::default(), elapsed, NOW);
    }
    for (key, _) in targets.of_service(service) {
        if rng.random_bool(0.5) {
            for _ in 0..2 {
                planner.record_speed(&route, size, key, Duration::from_millis(200), NOW);
            }
        }
    }
    planner
}

/// The targets that all decisions for one request name, which runs at the target `source`, without
/// and with each partition of the engines of other regions.
fn chosen_targets(
    targets: &TargetTable,
    source: TargetKey,
    home_zone: &ZoneName,
    policy: &ResidencyPolicy,
    partitions: &[Option<u64>],
    rng: &mut SmallRng,
) -> Vec<TargetKey> {
    let service = service();
    let mut chosen = Vec::new();
    for partition in partitions.iter().copied() {
        let options = PlacementOptions {
            residency: policy,
            remote_partition_host: partition,
            restart_time: rng.random_bool(0.5).then_some(Duration::from_millis(100)),
            ..long_generation_options(&service, home_zone)
        };
        for is_remote in [None, Some(false), Some(true)] {
            let placement = place_generation(
                targets,
                &options,
                |_, target| {
                    is_remote.is_none_or(|it| it == (target.locality == Locality::OtherRegion))
                },
                NOW,
                rng,
            );
            chosen.extend(placement.map(|placement| placement.target.key()));
        }
        let usable = targets.of_service(&service);
        let usable = usable.filter(|(_, target)| may_place_on(targets, &options, target, NOW));
        chosen.extend(usable.map(|(key, _)| key));
    }
    // First attempt, retries and a hedge of a call, each without the targets before it.
    let mut tried = Vec::new();
    while let Some(target) = place_call(targets, &service, &tried, policy, NOW) {
        tried.push(target.key());
    }
    chosen.extend(tried);
    // Attempts and hedges that avoid slow targets.
    let planner = slow_target_planner(targets, &service, rng);
    let mut tried = Vec::new();
    while let Some(target) = planner.choose_target(targets, &service, &tried, policy, NOW) {
        tried.push(target.key());
    }
    chosen.extend(tried);
    // A running generation is copied.
    if let Some(source_target) = targets.get(source) {
        let destination =
            choose_destination(targets, &service, source_target, 3_000, &[], policy, NOW);
        chosen.extend(destination.map(PermittedTarget::key));
    }
    chosen
}

/// Guards against any decision that names a target or a host outside the allowed regions, also if
/// the configuration changes between the choice and the send.
#[test]
fn no_decision_names_a_region_that_is_not_allowed() {
    let (mut chosen_count, mut denied_count, mut relayed_count) = (0, 0, 0);
    for seed in 0..3_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (before, after) = (Lists::random(&mut rng), Lists::random(&mut rng));
        let zones: Vec<ZoneName> = zone_regions().into_keys().collect();
        let home_zone = zones.choose(&mut rng).expect("there are zones");
        let (targets, keys) = random_targets(home_zone, &mut rng);
        let region = |key| region_of_zone(&targets.get(key).expect("it is listed").entry.zone);
        let policy_before = before.policy();
        let partitions = [None, Some(seed)];
        let chosen = chosen_targets(
            &targets,
            keys[0],
            home_zone,
            &policy_before,
            &partitions,
            &mut rng,
        );
        for key in chosen {
            chosen_count += 1;
            assert!(before.allow(region(key)), "seed {seed}: {before:?}");
            // The send decides again, by the lists in force then.
            let is_sent = after.policy().permit_target(&targets, key).is_some();
            assert_eq!(is_sent, after.allow(region(key)), "seed {seed}: {after:?}");
            denied_count += u32::from(!is_sent);
            // A stream that runs keeps the lists with which it began.
            let both: Vec<AllowedRegions> = [before.regions(), after.regions()]
                .into_iter()
                .flatten()
                .collect();
            let of_stream = policy(&both.iter().collect::<Vec<_>>());
            let goes_on = of_stream.permit_target(&targets, key).is_some();
            let expected = before.allow(region(key)) && after.allow(region(key));
            assert_eq!(goes_on, expected, "seed {seed}: {before:?} {after:?}");
        }
        let hosts = random_hosts(&mut rng);
        let own_region = RegionName::new(region_of_zone(home_zone));
        let mut tried = Vec::new();
        let selector = RelaySelector::default();
        let own_host = ("h0", &own_region);
        while let Some(host) =
            selector.choose(&hosts, own_host, &tried, &policy_before, NOW, &mut rng)
        {
            relayed_count += 1;
            let (_, record) = hosts
                .live()
                .find(|(name, _)| *name == host.name())
                .expect("it is listed");
            assert_eq!(host.address(), record.peer_address);
            assert!(before.allow(record.region.as_str()), "seed {seed}");
            assert!(
                !before.is_restricted() || record.has_feature(RESIDENCY_FEATURE),
                "seed {seed}: a host of an earlier build gets a restricted request"
            );
            tried.push(host.name().to_owned());
        }
    }
    // Each check must have been reached often.
    assert!(chosen_count > 10_000, "{chosen_count}");
    assert!(denied_count > 1_000, "{denied_count}");
    assert!(relayed_count > 1_000, "{relayed_count}");
}

/// A target that left the table between the choice and the send has no known region.
#[test]
fn a_deleted_target_is_permitted_only_without_restrictions() {
    let (mut targets, keys) = engines(&["a"]);
    let key = keys[0];
    let all = ResidencyPolicy::new([&list(&["north", "south"])], |_| true);
    assert!(all.permit_target(&targets, key).is_some());
    targets.mark_removed("i-0", Duration::ZERO);
    targets.purge_removed(NOW, Duration::ZERO);
    assert!(targets.get(key).is_none());
    assert!(all.permit_target(&targets, key).is_none());
    assert!(UNRESTRICTED.permit_target(&targets, key).is_some());
}

/// A list of all regions allows the same as no list. Only the partition of the engines of other
/// regions, by which unrestricted requests are spread, does not apply to it.
#[test]
fn a_list_of_all_regions_changes_no_choice() {
    let all = policy(&[&list(&REGIONS)]);
    for seed in 0..500 {
        let choices = [&UNRESTRICTED, &all].map(|policy| {
            let mut rng = SmallRng::seed_from_u64(seed);
            let home_zone = ZoneName::new("r1-a");
            let mut targets = target_table();
            for number in 0..8 {
                let entry = entry(
                    number,
                    ["r1-a", "r1-b", "r2-a", "r3-b"][usize::from(number) % 4],
                );
                let locality = targets.locality_between(&home_zone, &entry.zone);
                let (key, _) = targets.upsert(entry, locality, Duration::ZERO);
                targets.add_request(key, rng.random_range(0..KV_CAPACITY_TOKENS), 900, 1);
            }
            let source = targets.iter().next().expect("it is listed").0;
            chosen_targets(&targets, source, &home_zone, policy, &[None], &mut rng)
        });
        assert_eq!(choices[0], choices[1], "seed {seed}");
    }
}

/// Guards against a host of another region that uses a quarter of the allowed engines, as for
/// unrestricted requests: a restricted request may need any of them.
#[test]
fn a_host_of_another_region_uses_all_allowed_engines() {
    let home_zone = ZoneName::new("r1-a");
    let restricted = policy(&[&list(&["r2"])]);
    for engine in 0..12 {
        let mut targets = target_table();
        for number in 0..12 {
            let (key, _) =
                targets.upsert(entry(number, "r2-a"), Locality::OtherRegion, Duration::ZERO);
            if number != engine {
                targets.add_request(key, KV_CAPACITY_TOKENS, 0, 1);
            }
        }
        let service = service();
        let options = PlacementOptions {
            residency: &restricted,
            remote_partition_host: Some(7),
            ..long_generation_options(&service, &home_zone)
        };
        let mut rng = SmallRng::seed_from_u64(1);
        let placement = place_generation(&targets, &options, |_, _| true, NOW, &mut rng);
        let chosen = placement.expect("an engine is idle").target.key();
        let instance = &targets.get(chosen).expect("it is listed").entry.instance;
        assert_eq!(*instance, format!("i-{engine}"));
        // Half of the eleven requests that the two hosts run there.
        let running = restricted.fleet_share(&targets, &service, 2, NOW);
        assert_eq!(
            (
                running,
                UNRESTRICTED.fleet_share(&targets, &service, 2, NOW)
            ),
            (5, 0)
        );
    }
}

#[rstest]
#[case::no_lists(&[], &[], "*")]
#[case::one_list(&["r2", "r1"], &[], "r1,r2")]
#[case::two_lists(&["r1", "r2"], &["r2", "r3"], "r2")]
#[case::nothing_in_common(&["r1"], &["r2"], "")]
#[case::unknown_region(&["r9"], &[], "r9")]
fn lists_are_combined(#[case] route: &[&str], #[case] team: &[&str], #[case] named: &str) {
    let combined = policy(&[&list(route), &list(team)]);
    assert_eq!(combined.named().to_string(), named);
    assert_eq!(combined.is_restricted(), named != "*");
    let unknown = RegionName::new("r9");
    assert_eq!(combined.allowed().contains(Some(&unknown)), named == "*");
    assert_eq!(combined.allowed().contains(None), named == "*");
}

/// Last octets of the addresses for a caller in zone `r1-a`.
fn listed_hosts(regions: &[&str], preferred: &AllowedRegions) -> Vec<u8> {
    let mut hosts = HostTable::default();
    for (number, region) in (1..).zip(regions) {
        let record = host_record(number, region, &[]);
        hosts.upsert(&format!("h{number}"), record, revision());
    }
    let (zone, region) = (ZoneName::new("r1-a"), RegionName::new("r1"));
    let addresses = host_addresses(&hosts, Some(&zone), Some(&region), None, preferred);
    let octet = |address: &std::net::SocketAddr| match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    };
    addresses.iter().map(octet).collect()
}

/// A caller whose region has few hosts got the hosts of the whole fleet, most of which are in regions
/// that its requests may not be served in.
#[rstest]
#[case::enough_in_the_zone(&["r1", "r1", "r2"], &["r2"], &[1, 2])]
#[case::widened_to_allowed_regions(&["r1", "r2", "r3", "r2"], &["r2"], &[1, 2, 4])]
#[case::none_in_the_region(&["r2", "r3"], &["r2"], &[1])]
#[case::none_in_allowed_regions(&["r3", "r3"], &["r2"], &[1, 2])]
#[case::no_restriction(&["r1", "r2", "r3"], &[], &[1, 2, 3])]
fn a_widened_list_prefers_allowed_regions(
    #[case] regions: &[&str],
    #[case] preferred: &[&str],
    #[case] expected: &[u8],
) {
    assert_eq!(listed_hosts(regions, &list(preferred)), expected);
}

#[rstest]
#[case::unrestricted(&[], &[], "*")]
#[case::one_route_is_restricted(&[], &["r2"], "r2")]
#[case::common_regions(&["r1", "r2"], &["r2"], "r2")]
#[case::nothing_in_common(&["r1"], &["r2"], "r1,r2")]
fn the_routes_of_a_name_agree_on_preferred_regions(
    #[case] first_route: &[&str],
    #[case] second_route: &[&str],
    #[case] expected: &str,
) {
    let lists = [list(first_route), list(second_route)];
    assert_eq!(preferred_regions(lists.iter()).to_string(), expected);
}

/// A fleet of 320 hosts must not send a notice for each request that waits.
#[test]
fn notices_of_contention_are_spaced() {
    let (service, region) = (service(), RegionName::new("r2"));
    let (mut own, mut other) = (RegionContention::default(), RegionContention::default());
    assert!(own.record(&service, &region, NOW));
    other.record_notice(&service, &region, NOW);
    let soon = NOW + NOTICE_INTERVAL / 2;
    assert!(!own.record(&service, &region, soon) && !other.record(&service, &region, soon));
    assert!(own.record(&service, &region, NOW + NOTICE_INTERVAL));
    let last = NOW + NOTICE_INTERVAL;
    assert!(own.is_contended(&service, &region, last));
    assert!(!own.is_contended(&service, &RegionName::new("r1"), last));
    assert!(!own.is_contended(&service, &region, last + CONTENTION_TTL));
}

/// A generation at a host of the region `region`.
struct Arrival {
    at: Duration,
    region: usize,
    is_restricted: bool,
}

/// Served and refused restricted requests, and served and refused unrestricted ones.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    restricted: (u32, u32),
    unrestricted: (u32, u32),
}

/// Zone of each region, and number of its engines.
const FLEET: [(&str, u16); 3] = [("r1-a", 9), ("r2-a", 3), ("r3-a", 9)];
const REPLAY_STEP: Duration = Duration::from_millis(20);
const REPLAY_TIME: Duration = Duration::from_mins(2);
/// Longest wait for capacity: 0.6 of an objective of 4 s.
const MAX_WAIT: Duration = Duration::from_millis(2_400);
/// Time of a generation after its prefill: 800 tokens of 11 ms.
const DECODE_TIME: Duration = Duration::from_millis(8_800);

/// The same targets as hosts of each region see them.
struct Views(Vec<TargetTable>);

impl Views {
    fn new() -> Self {
        let view = |(home_zone, _): &(&str, u16)| {
            let mut targets = target_table();
            let engines = FLEET
                .iter()
                .flat_map(|(zone, count)| std::iter::repeat_n(*zone, usize::from(*count)));
            for (number, zone) in (0..).zip(engines) {
                let entry = entry(number, zone);
                let locality = targets.locality_between(&ZoneName::new(home_zone), &entry.zone);
                targets.upsert(entry, locality, Duration::ZERO);
            }
            targets
        };
        Self(FLEET.iter().map(view).collect())
    }

    fn for_each(&mut self, instance: &str, mut change: impl FnMut(&mut TargetTable, TargetKey)) {
        for targets in &mut self.0 {
            let key = targets.find_instance(instance).expect("it is listed");
            change(targets, key);
        }
    }

    /// Places a generation as a host of a region does. Returns the engine and when the prompt is
    /// prefilled.
    fn place(
        &mut self,
        arrival: &Arrival,
        waited: Duration,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<(String, Duration)> {
        let (service, home_zone) = (service(), ZoneName::new(FLEET[arrival.region].0));
        let restricted = policy(&[&list(&["r2"])]);
        let options = PlacementOptions {
            residency: if arrival.is_restricted {
                &restricted
            } else {
                &UNRESTRICTED
            },
            max_queue_time: MAX_WAIT.saturating_sub(waited),
            ..long_generation_options(&service, &home_zone)
        };
        let targets = &self.0[arrival.region];
        let placement = place_generation(targets, &options, |_, _| true, now, rng)?;
        let target = targets.get(placement.target.key()).expect("it is listed");
        let instance = target.entry.instance.clone();
        let prefilled_at = now + target.prefill_time(LONG_GENERATION.prompt_tokens, now);
        self.for_each(&instance, |targets, key| {
            let demand = LONG_GENERATION;
            targets.add_request(key, demand.mean_kv_tokens(), demand.prompt_tokens, 1);
        });
        Some((instance, prefilled_at))
    }
}

/// Arrivals at random times with these rates a second, for unrestricted generations of each region
/// and for those restricted to `r2`, whose callers are in all regions.
fn arrivals(unrestricted: [f64; 3], restricted: f64, rng: &mut SmallRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while at < REPLAY_TIME {
        for (region, rate) in (0..).zip(unrestricted) {
            for (rate, is_restricted) in [(rate, false), (restricted / 3.0, true)] {
                if rng.random_bool(rate * REPLAY_STEP.as_secs_f64()) {
                    arrivals.push(Arrival {
                        at: NOW + at,
                        region,
                        is_restricted,
                    });
                }
            }
        }
        at += REPLAY_STEP;
    }
    arrivals
}

/// Replays arrivals. With `yields`, restricted requests that wait make their region known.
fn replay(arrivals: Vec<Arrival>, yields: bool, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut views = Views::new();
    let mut outcome = Outcome::default();
    let mut waiting: Vec<Arrival> = Vec::new();
    let mut prefills: Vec<(Duration, String)> = Vec::new();
    let mut running: Vec<(Duration, String)> = Vec::new();
    let mut upcoming = arrivals.into_iter().peekable();
    let mut now = NOW;
    while now < NOW + REPLAY_TIME + MAX_WAIT {
        let (done, rest): (Vec<_>, Vec<_>) = prefills.into_iter().partition(|(at, _)| *at <= now);
        prefills = rest;
        for (at, instance) in done {
            // The rate stays at the initial one of 7 tokens per millisecond.
            let tokens = LONG_GENERATION.prompt_tokens;
            let elapsed = Duration::from_secs_f64(f64::from(tokens) / 7_000.0);
            views.for_each(&instance, |targets, key| {
                targets.finish_prefill(key, tokens, 1, 0, elapsed);
            });
            running.push((at + DECODE_TIME, instance));
        }
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= now);
        running = rest;
        for (_, instance) in done {
            views.for_each(&instance, |targets, key| {
                targets.remove_request(key, LONG_GENERATION.mean_kv_tokens(), 0, 1);
            });
        }
        while let Some(arrival) = upcoming.next_if(|arrival| arrival.at <= now) {
            waiting.push(arrival);
        }
        for arrival in std::mem::take(&mut waiting) {
            let waited = now.saturating_sub(arrival.at);
            let placed = views.place(&arrival, waited, now, &mut rng);
            let count = if arrival.is_restricted {
                &mut outcome.restricted
            } else {
                &mut outcome.unrestricted
            };
            if let Some((instance, prefilled_at)) = placed {
                count.0 += 1;
                prefills.push((prefilled_at, instance));
                continue;
            }
            if yields && arrival.is_restricted {
                for targets in &mut views.0 {
                    let region = RegionName::new("r2");
                    let contention = targets.contention_mut();
                    contention.record(&service(), &region, now);
                }
            }
            if waited >= MAX_WAIT {
                count.1 += 1;
            } else {
                waiting.push(arrival);
            }
        }
        now += REPLAY_STEP;
    }
    outcome
}

/// Requests restricted to a small region compete with unrestricted ones of its own callers, who ask
/// for more than its engines serve, while engines of other regions have room. Each engine holds nine
/// generations of nine seconds, so that the three of the small region serve 2.9 a second.
#[rstest]
#[case::twice_the_capacity([4.0, 7.0, 4.0])]
#[case::three_times_the_capacity([3.0, 10.0, 3.0])]
fn unrestricted_generations_yield_a_small_allowed_region(#[case] unrestricted: [f64; 3]) {
    let (mut refused_without, mut refused_with) = (0, 0);
    for seed in 0..3 {
        let arrivals = || arrivals(unrestricted, 2.0, &mut SmallRng::seed_from_u64(seed));
        let (without, with) = (
            replay(arrivals(), false, seed),
            replay(arrivals(), true, seed),
        );
        refused_without += without.restricted.1;
        refused_with += with.restricted.1;
        assert_eq!(with.unrestricted.1, 0, "engines elsewhere have room");
    }
    assert!(refused_without >= 40, "{refused_without}");
    assert!(
        refused_with * 2 <= refused_without,
        "{refused_with} with the part, {refused_without} without"
    );
}
