//! Addresses for callers and change sources for hosts, while hosts appear and fail.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_routing::change_source::{ChangeSource, ReaderFailure, SourceSelector};
use mimosagap_routing::discovery::host_addresses;
use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::residency::AllowedRegions;
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use mimosagap_types::prelude::*;

const NOW: Duration = Duration::from_secs(1000);

fn host_table(names_and_zones: &[(&str, &str)]) -> HostTable {
    let mut hosts = HostTable::default();
    for ((name, zone), number) in names_and_zones.iter().zip(1..) {
        let record = HostRecord {
            caller_address: ([10, 0, 0, number], 8740).into(),
            peer_address: ([10, 0, 0, number], 7200).into(),
            zone: ZoneName::new(zone),
            capacity: HostCapacity::default(),
            features: Vec::new(),
            region: RegionName::new(&zone[..1]),
        };
        hosts.upsert(name, record, revision(1));
    }
    hosts
}

fn last_octets(addresses: &[SocketAddr]) -> Vec<u8> {
    let mut last_octets: Vec<u8> = addresses
        .iter()
        .map(|address| match address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => 0,
        })
        .collect();
    last_octets.sort_unstable();
    last_octets
}

/// Last octets of the addresses for callers of a zone, in ascending order.
fn caller_hosts(hosts: &HostTable, zone: &str, excluded_host: Option<&str>) -> Vec<u8> {
    let (zone, region) = (ZoneName::new(zone), RegionName::new(&zone[..1]));
    last_octets(&host_addresses(
        hosts,
        Some(&zone),
        Some(&region),
        excluded_host,
        &AllowedRegions::Any,
    ))
}

#[test]
fn callers_get_the_hosts_of_their_zone() {
    let hosts = host_table(&[("h1", "a1"), ("h2", "a1"), ("h3", "a2"), ("h4", "b1")]);
    assert_eq!(caller_hosts(&hosts, "a1", None), [1, 2]);
}

#[test]
fn a_zone_with_one_host_gets_the_hosts_of_its_region_or_the_fleet() {
    let hosts = host_table(&[("h1", "a1"), ("h2", "a1"), ("h3", "a2"), ("h4", "b1")]);
    assert_eq!(caller_hosts(&hosts, "a1", Some("h2")), [1, 3]);
    assert_eq!(caller_hosts(&hosts, "b1", None), [1, 2, 3, 4]);
}

#[test]
fn a_removed_host_stays_listed_until_its_removal_time() {
    let mut hosts = host_table(&[("h1", "a1"), ("h2", "a1")]);
    hosts.mark_removed("h2", NOW);
    hosts.purge_removed(NOW.saturating_sub(Duration::from_millis(1)));
    assert_eq!(caller_hosts(&hosts, "a1", None), [1, 2]);
    hosts.purge_removed(NOW);
    assert_eq!(caller_hosts(&hosts, "a1", None), [1]);
}

/// The host that `own_name` polls; `None` for the store.
fn selected_reader(
    selector: &SourceSelector,
    hosts: &HostTable,
    own_name: &str,
    now: Duration,
) -> Option<String> {
    match selector.select(hosts, own_name, &RegionName::new("a"), now) {
        ChangeSource::Store => None,
        ChangeSource::Reader(reader) => Some(reader.name),
    }
}

/// All 195 hosts of six zones follow keys that change several times a second.
#[test]
fn one_host_of_each_region_polls_the_store() {
    let names = [
        ("h1", "a1"),
        ("h2", "a1"),
        ("h3", "a2"),
        ("h4", "a2"),
        ("h5", "b1"),
    ];
    let hosts = host_table(&names);
    let selector = SourceSelector::default();
    let readers = |region: &str| {
        let of_region = names.iter().filter(|(_, zone)| zone.starts_with(region));
        let region = RegionName::new(region);
        let polls_store =
            |own_name: &str| selector.select(&hosts, own_name, &region, NOW) == ChangeSource::Store;
        of_region
            .filter(|(own_name, _)| polls_store(own_name))
            .count()
    };
    assert_eq!(readers("a"), 1);
    assert_eq!(readers("b"), 1);
}

/// In a fleet of six zones with 50 hosts each and 3,000 engines, sending each change from the
/// reader of a region to every host of its other zone lowered the evaluation score of a day by
/// 0.038.
#[test]
fn one_host_of_a_zone_polls_the_reader_in_another_zone() {
    let names: Vec<(String, &str)> = (0..24)
        .map(|number| (format!("h{number}"), ["a1", "a2"][number % 2]))
        .collect();
    let names_and_zones: Vec<(&str, &str)> =
        names.iter().map(|(name, zone)| (&**name, *zone)).collect();
    let hosts = host_table(&names_and_zones);
    let zone_of = |host_name: &str| {
        names_and_zones
            .iter()
            .find(|(name, _)| *name == host_name)
            .map(|entry| entry.1)
    };
    let reader_of = |selector: &SourceSelector, own_name: &str| {
        selected_reader(selector, &hosts, own_name, NOW)
    };
    let selector = SourceSelector::default();
    let cross_zone_hosts: Vec<&str> = names_and_zones
        .iter()
        .filter(|(own_name, zone)| {
            reader_of(&selector, own_name).is_some_and(|reader| zone_of(&reader) != Some(zone))
        })
        .map(|(own_name, _)| *own_name)
        .collect();
    // The other candidates for the reader poll it too, in whichever zone they are.
    assert!(cross_zone_hosts.len() <= 4, "{cross_zone_hosts:?}");
    // The chain of sources leads from every host to the store.
    for (own_name, _) in &names_and_zones {
        let mut path = vec![(*own_name).to_owned()];
        while let Some(next) = reader_of(&selector, path.last().expect("the path is not empty")) {
            assert!(!path.contains(&next), "{path:?} polls {next} again");
            path.push(next);
        }
        assert!(path.len() <= 4, "{path:?}");
    }
    // A host whose relay does not respond polls the next candidate.
    let (own_name, relay) = names_and_zones
        .iter()
        .find_map(|(own_name, _)| {
            let relay = reader_of(&selector, own_name)?;
            reader_of(&selector, &relay)
                .is_some()
                .then_some((*own_name, relay))
        })
        .expect("a host polls a relay");
    let mut selector = SourceSelector::default();
    selector.record_reader_failure(&relay, ReaderFailure::Unresponsive, NOW);
    let next = reader_of(&selector, own_name);
    assert!(next.is_some() && next != Some(relay));
}

const ZONE: [(&str, &str); 6] = [
    ("h1", "a1"),
    ("h2", "a1"),
    ("h3", "a1"),
    ("h4", "a1"),
    ("h5", "a1"),
    ("h6", "a1"),
];

/// A host that is no candidate for the reader, and the candidates in their order.
fn follower_and_readers(hosts: &HostTable) -> (&'static str, Vec<String>) {
    for (own_name, _) in ZONE {
        let mut selector = SourceSelector::default();
        let mut readers = Vec::new();
        while let Some(reader) = selected_reader(&selector, hosts, own_name, NOW)
            && !readers.contains(&reader)
        {
            selector.record_reader_failure(&reader, ReaderFailure::Unresponsive, NOW);
            readers.push(reader);
        }
        if readers.len() == 4 {
            return (own_name, readers);
        }
    }
    panic!("no host has four other hosts as candidates for its reader");
}

#[test]
fn a_host_polls_the_next_reader_until_the_cooldown_ends() {
    let hosts = host_table(&ZONE);
    let (own_name, readers) = follower_and_readers(&hosts);
    let mut selector = SourceSelector::default();
    selector.record_reader_failure(&readers[0], ReaderFailure::Unresponsive, NOW);
    assert_eq!(
        selected_reader(&selector, &hosts, own_name, NOW),
        Some(readers[1].clone())
    );
    let later = NOW + Duration::from_secs(4);
    assert_eq!(
        selected_reader(&selector, &hosts, own_name, later),
        Some(readers[0].clone())
    );
}

#[test]
fn a_host_whose_readers_all_fail_polls_the_store_while_it_responds() {
    let hosts = host_table(&ZONE);
    let (own_name, readers) = follower_and_readers(&hosts);
    let mut selector = SourceSelector::default();
    for reader in &readers {
        selector.record_reader_failure(reader, ReaderFailure::Unresponsive, NOW);
    }
    assert_eq!(selected_reader(&selector, &hosts, own_name, NOW), None);
    selector.record_store_success();
    assert_eq!(selected_reader(&selector, &hosts, own_name, NOW), None);
}

#[test]
fn a_reader_polls_the_store_during_an_outage() {
    let hosts = host_table(&ZONE);
    let (_, readers) = follower_and_readers(&hosts);
    let mut selector = SourceSelector::default();
    selector.record_store_failure(NOW);
    assert_eq!(selected_reader(&selector, &hosts, &readers[0], NOW), None);
}

/// The store of 85 hosts is unavailable for ten seconds. One call per host and second
/// amounts to more than 700 calls in that time.
#[test]
fn a_host_that_is_no_reader_rarely_calls_the_store_in_an_outage() {
    const OUTAGE: Duration = Duration::from_secs(10);
    const STEP: Duration = Duration::from_millis(300);
    let hosts = host_table(&ZONE);
    let (own_name, _) = follower_and_readers(&hosts);
    let mut selector = SourceSelector::default();
    let mut calls = 0;
    let mut now = NOW;
    while now < NOW + OUTAGE {
        if let Some(reader) = selected_reader(&selector, &hosts, own_name, now) {
            selector.record_reader_failure(&reader, ReaderFailure::Unresponsive, now);
        } else {
            calls += 1;
            selector.record_store_failure(now);
        }
        now += STEP;
    }
    assert!(calls <= 4, "{calls} calls");
}

/// All readers of 195 hosts fail during an outage of the store. With the cooldown of an
/// unresponsive reader, the hosts kept calling the store for three seconds after its return, 1,450
/// calls in all.
#[test]
fn hosts_return_to_a_stale_reader_soon_after_an_outage() {
    let hosts = host_table(&ZONE);
    let (own_name, readers) = follower_and_readers(&hosts);
    let mut selector = SourceSelector::default();
    for reader in &readers {
        selector.record_reader_failure(reader, ReaderFailure::Stale, NOW);
    }
    assert_eq!(selected_reader(&selector, &hosts, own_name, NOW), None);
    selector.record_store_success();
    let next = NOW + Duration::from_millis(780);
    assert_eq!(
        selected_reader(&selector, &hosts, own_name, next),
        Some(readers[0].clone())
    );
}

/// Configurations of 13 KB follow each other quickly, and the reader sends all of them to each host
/// of the zone, which saturates a link of 10 Mbit/s.
#[test]
fn the_host_with_the_greatest_capacity_is_the_reader() {
    let mut hosts = host_table(&ZONE);
    let strong_record = hosts
        .live()
        .find(|(name, _)| *name == "h4")
        .map(|(_, record)| HostRecord {
            capacity: HostCapacity {
                cpu_millicores: 500,
                link_mbps: 200,
            },
            ..record.clone()
        })
        .expect("the host is listed");
    hosts.upsert("h4", strong_record, revision(1));
    let selector = SourceSelector::default();
    for (own_name, _) in ZONE {
        let expected = (own_name != "h4").then(|| "h4".to_owned());
        assert_eq!(selected_reader(&selector, &hosts, own_name, NOW), expected);
    }
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(1), number)
}
