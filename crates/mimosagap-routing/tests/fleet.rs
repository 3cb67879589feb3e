//! Addresses for callers and readers of the store while hosts come and go.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_routing::addresses::addresses_for;
use mimosagap_routing::hosts::{HostRecord, Hosts};
use mimosagap_routing::readers::{ChangeSource, SourceChoice};
use mimosagap_types::prelude::*;

const NOW: Duration = Duration::from_secs(1000);

fn fleet(hosts: &[(&str, &str)]) -> Hosts {
    let mut fleet = Hosts::default();
    for ((name, zone), number) in hosts.iter().zip(1..) {
        let record = HostRecord {
            callers: ([10, 0, 0, number], 8740).into(),
            peers: ([10, 0, 0, number], 7200).into(),
            zone: ZoneName::new(zone),
            region: RegionName::new(&zone[..1]),
        };
        fleet.put(name, record);
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

fn ask(fleet: &Hosts, zone: &str, avoid: Option<&str>) -> Vec<u8> {
    let (zone, region) = (ZoneName::new(zone), RegionName::new(&zone[..1]));
    numbers(&addresses_for(fleet, Some(&zone), Some(&region), avoid))
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
    fleet.remove("h2", NOW);
    fleet.expire(NOW.saturating_sub(Duration::from_millis(1)));
    assert_eq!(ask(&fleet, "a1", None), [1, 2]);
    fleet.expire(NOW);
    assert_eq!(ask(&fleet, "a1", None), [1]);
}

#[test]
fn one_host_of_each_zone_reads_the_store() {
    let names = [("h1", "a1"), ("h2", "a1"), ("h3", "a1"), ("h4", "b1")];
    let fleet = fleet(&names);
    let choice = SourceChoice::default();
    let readers = |zone: &str| {
        names
            .iter()
            .filter(|(_, own)| *own == zone)
            .filter(|(name, _)| {
                choice.source(&fleet, name, &ZoneName::new(zone), NOW) == ChangeSource::Store
            })
            .count()
    };
    assert_eq!(readers("a1"), 1);
    assert_eq!(readers("b1"), 1);
}

#[test]
fn a_host_whose_reader_fails_asks_the_store_and_comes_back() {
    let fleet = fleet(&[("h1", "a1"), ("h2", "a1")]);
    let zone = ZoneName::new("a1");
    let mut choice = SourceChoice::default();
    let follower = ["h1", "h2"]
        .into_iter()
        .find(|name| choice.source(&fleet, name, &zone, NOW) != ChangeSource::Store)
        .expect("one host follows the other");
    choice.reader_failed(NOW);
    assert_eq!(
        choice.source(&fleet, follower, &zone, NOW),
        ChangeSource::Store
    );
    let later = NOW + Duration::from_secs(4);
    assert_ne!(
        choice.source(&fleet, follower, &zone, later),
        ChangeSource::Store
    );
    choice.reader_failed(later);
    choice.store_failed();
    assert_ne!(
        choice.source(&fleet, follower, &zone, later),
        ChangeSource::Store
    );
}
