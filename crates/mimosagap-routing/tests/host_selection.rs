//! Addresses for callers and readers of the store while hosts come and go.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_routing::change_source::{ChangeSource, ReaderFailure, SourceSelector};
use mimosagap_routing::discovery::host_addresses;
use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_types::prelude::*;

const NOW: Duration = Duration::from_secs(1000);

fn fleet(hosts: &[(&str, &str)]) -> HostTable {
    let mut fleet = HostTable::default();
    for ((name, zone), number) in hosts.iter().zip(1..) {
        let record = HostRecord {
            caller_address: ([10, 0, 0, number], 8740).into(),
            peer_address: ([10, 0, 0, number], 7200).into(),
            zone: ZoneName::new(zone),
            capacity: HostCapacity::default(),
            region: RegionName::new(&zone[..1]),
        };
        fleet.upsert(name, record);
    }
    fleet
}

fn numbers(list: &[SocketAddr]) -> Vec<u8> {
    let mut numbers: Vec<u8> = list
        .iter()
        .map(|address| match address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => 0,
        })
        .collect();
    numbers.sort_unstable();
    numbers
}

fn ask(fleet: &HostTable, zone: &str, avoid: Option<&str>) -> Vec<u8> {
    let (zone, region) = (ZoneName::new(zone), RegionName::new(&zone[..1]));
    numbers(&host_addresses(fleet, Some(&zone), Some(&region), avoid))
}

#[test]
fn callers_stay_in_their_zone_while_it_has_hosts() {
    let fleet = fleet(&[("h1", "a1"), ("h2", "a1"), ("h3", "a2"), ("h4", "b1")]);
    assert_eq!(ask(&fleet, "a1", None), [1, 2]);
}

#[test]
fn a_zone_with_one_host_left_shares_its_region_and_then_the_fleet() {
    let fleet = fleet(&[("h1", "a1"), ("h2", "a1"), ("h3", "a2"), ("h4", "b1")]);
    assert_eq!(ask(&fleet, "a1", Some("h2")), [1, 3]);
    assert_eq!(ask(&fleet, "b1", None), [1, 2, 3, 4]);
}

#[test]
fn a_host_that_vanished_in_an_outage_stays_until_its_time_to_come_back_is_over() {
    let mut fleet = fleet(&[("h1", "a1"), ("h2", "a1")]);
    fleet.mark_removed("h2", NOW);
    fleet.purge_removed(NOW.saturating_sub(Duration::from_millis(1)));
    assert_eq!(ask(&fleet, "a1", None), [1, 2]);
    fleet.purge_removed(NOW);
    assert_eq!(ask(&fleet, "a1", None), [1]);
}

/// The host that is asked, or `None` for the store.
fn source(choice: &SourceSelector, fleet: &HostTable, own: &str, now: Duration) -> Option<String> {
    match choice.select(fleet, own, &RegionName::new("a"), now) {
        ChangeSource::Store => None,
        ChangeSource::Reader(reader) => Some(reader.name),
    }
}

/// Load pattern: six zones of 195 hosts follow keys that change several times a second.
#[test]
fn one_host_of_each_region_reads_the_store() {
    let names = [
        ("h1", "a1"),
        ("h2", "a1"),
        ("h3", "a2"),
        ("h4", "a2"),
        ("h5", "b1"),
    ];
    let fleet = fleet(&names);
    let choice = SourceSelector::default();
    let readers = |region: &str| {
        let of_region = names.iter().filter(|(_, zone)| zone.starts_with(region));
        let region = RegionName::new(region);
        let asks_store =
            |own: &str| choice.select(&fleet, own, &region, NOW) == ChangeSource::Store;
        of_region.filter(|(own, _)| asks_store(own)).count()
    };
    assert_eq!(readers("a"), 1);
    assert_eq!(readers("b"), 1);
}

/// Load pattern: 50 hosts of each of six zones follow 3,000 engines. Changes that went from the
/// region's reader to each host of its other zone cost 0.038 of a day's worth.
#[test]
fn one_host_of_a_zone_asks_the_reader_in_another_zone() {
    let names: Vec<(String, &str)> = (0..24)
        .map(|number| (format!("h{number}"), ["a1", "a2"][number % 2]))
        .collect();
    let listed: Vec<(&str, &str)> = names.iter().map(|(name, zone)| (&**name, *zone)).collect();
    let fleet = fleet(&listed);
    let zone_of = |host: &str| {
        listed
            .iter()
            .find(|(name, _)| *name == host)
            .map(|one| one.1)
    };
    let ask = |choice: &SourceSelector, own: &str| source(choice, &fleet, own, NOW);
    let choice = SourceSelector::default();
    let crossing: Vec<&str> = listed
        .iter()
        .filter(|(own, zone)| ask(&choice, own).is_some_and(|host| zone_of(&host) != Some(zone)))
        .map(|(own, _)| *own)
        .collect();
    // The stand-ins of the reader ask it too, wherever they are.
    assert!(crossing.len() <= 4, "{crossing:?}");
    // Following the answers leads to the store from every host.
    for (own, _) in &listed {
        let mut path = vec![(*own).to_owned()];
        while let Some(next) = ask(&choice, path.last().expect("it has a host")) {
            assert!(!path.contains(&next), "{path:?} asks {next} again");
            path.push(next);
        }
        assert!(path.len() <= 4, "{path:?}");
    }
    // A host whose relay is silent asks the next one.
    let (own, relay) = listed
        .iter()
        .find_map(|(own, _)| {
            let relay = ask(&choice, own)?;
            ask(&choice, &relay).is_some().then_some((*own, relay))
        })
        .expect("a host asks a relay");
    let mut choice = SourceSelector::default();
    choice.record_reader_failure(&relay, ReaderFailure::Unresponsive, NOW);
    let next = ask(&choice, own);
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

/// A host of the region that is no reader, and the readers in their order.
fn follower_and_readers(fleet: &HostTable) -> (&'static str, Vec<String>) {
    for (own, _) in ZONE {
        let mut choice = SourceSelector::default();
        let mut readers = Vec::new();
        while let Some(reader) = source(&choice, fleet, own, NOW)
            && !readers.contains(&reader)
        {
            choice.record_reader_failure(&reader, ReaderFailure::Unresponsive, NOW);
            readers.push(reader);
        }
        if readers.len() == 4 {
            return (own, readers);
        }
    }
    panic!("no host follows four readers");
}

#[test]
fn a_host_whose_reader_fails_asks_the_next_and_comes_back() {
    let fleet = fleet(&ZONE);
    let (own, readers) = follower_and_readers(&fleet);
    let mut choice = SourceSelector::default();
    choice.record_reader_failure(&readers[0], ReaderFailure::Unresponsive, NOW);
    assert_eq!(source(&choice, &fleet, own, NOW), Some(readers[1].clone()));
    let later = NOW + Duration::from_secs(4);
    assert_eq!(
        source(&choice, &fleet, own, later),
        Some(readers[0].clone())
    );
}

#[test]
fn a_host_whose_readers_are_turned_away_asks_the_store_as_long_as_it_answers() {
    let fleet = fleet(&ZONE);
    let (own, readers) = follower_and_readers(&fleet);
    let mut choice = SourceSelector::default();
    for reader in &readers {
        choice.record_reader_failure(reader, ReaderFailure::Unresponsive, NOW);
    }
    assert_eq!(source(&choice, &fleet, own, NOW), None);
    choice.record_store_success();
    assert_eq!(source(&choice, &fleet, own, NOW), None);
}

#[test]
fn a_reader_asks_the_store_until_it_is_back() {
    let fleet = fleet(&ZONE);
    let (_, readers) = follower_and_readers(&fleet);
    let mut choice = SourceSelector::default();
    choice.record_store_failure(NOW);
    assert_eq!(source(&choice, &fleet, &readers[0], NOW), None);
}

/// Load pattern: the store of 85 hosts is away for ten seconds. A call of each host a second was
/// measured as 700 and more calls in such a time.
#[test]
fn an_outage_brings_few_calls_of_hosts_that_are_no_readers() {
    const OUTAGE: Duration = Duration::from_secs(10);
    const STEP: Duration = Duration::from_millis(300);
    let fleet = fleet(&ZONE);
    let (own, _) = follower_and_readers(&fleet);
    let mut choice = SourceSelector::default();
    let mut calls = 0;
    let mut now = NOW;
    while now < NOW + OUTAGE {
        if let Some(reader) = source(&choice, &fleet, own, now) {
            choice.record_reader_failure(&reader, ReaderFailure::Unresponsive, now);
        } else {
            calls += 1;
            choice.record_store_failure(now);
        }
        now += STEP;
    }
    assert!(calls <= 4, "{calls} calls");
}

/// Load pattern: the store comes back and answers all 195 hosts. Each of them had seen its readers
/// fail in the outage and went on asking the store for three seconds, 1,450 calls in all.
#[test]
fn hosts_return_to_their_reader_soon_after_an_outage() {
    let fleet = fleet(&ZONE);
    let (own, readers) = follower_and_readers(&fleet);
    let mut choice = SourceSelector::default();
    for reader in &readers {
        choice.record_reader_failure(reader, ReaderFailure::Stale, NOW);
    }
    assert_eq!(source(&choice, &fleet, own, NOW), None);
    choice.record_store_success();
    let next = NOW + Duration::from_millis(780);
    assert_eq!(source(&choice, &fleet, own, next), Some(readers[0].clone()));
}

/// Load pattern: configurations of 13 KB follow each other quickly, and each host of the zone gets
/// all of them from the reader; a link of 10 Mbit/s is full then.
#[test]
fn the_strongest_host_reads_for_the_others() {
    let mut fleet = fleet(&ZONE);
    let strong = fleet
        .live()
        .find(|(name, _)| *name == "h4")
        .map(|(_, record)| HostRecord {
            capacity: HostCapacity {
                cpu_millicores: 500,
                link_mbps: 200,
            },
            ..record.clone()
        })
        .expect("it is listed");
    fleet.upsert("h4", strong);
    let choice = SourceSelector::default();
    for (own, _) in ZONE {
        let expected = (own != "h4").then(|| "h4".to_owned());
        assert_eq!(source(&choice, &fleet, own, NOW), expected);
    }
}
