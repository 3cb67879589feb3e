//! Engines leave, nine at a time, and their generations belong to few hosts of a large fleet.
//!
//! Each generation needs the credit of one retry to go on at the engine with its copy before its own
//! engine ends. Hosts without credit lost generations while the fleet held enough.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_routing::credit_lending::{LOAN_FEATURE, LenderSelector, MAX_LENDERS};
use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::retry_budget::{RetryBounds, RetryBudget, RetryPurpose};
use mimosagap_routing::store_revision::StoreRevision;
use mimosagap_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const TICK: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_mins(2);

/// Time between two departures.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(3300);

/// Generations on the engines that leave together and are worth moving.
const MOVES_PER_DEPARTURE: u32 = 24;

/// Time within which a generation has to go on elsewhere.
const MOVE_TIME: Duration = Duration::from_secs(1);

/// Requests per second of all hosts.
const REQUEST_RATE: f64 = 73.0;

/// Share of datagrams that get lost.
const LOSS: f64 = 0.02;

fn host_table(count: usize) -> HostTable {
    let mut hosts = HostTable::default();
    for index in 0..count {
        let port = u16::try_from(1000 + index).expect("few hosts");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let record = HostRecord {
            caller_address: address,
            peer_address: address,
            zone: ZoneName::new("z"),
            region: RegionName::new(&format!("r{}", index % 3)),
            capacity: HostCapacity::default(),
            features: vec![LOAN_FEATURE.to_owned()],
        };
        hosts.upsert(&format!("h{index}"), record, StoreRevision::default());
    }
    hosts
}

/// Generations that were lost, and the most retries in a window as a fraction of the bound.
struct FleetOutcome {
    moves: u32,
    lost: u32,
    worst_use: f64,
}

fn simulate(host_count: usize, with_lending: bool, seed: u64) -> FleetOutcome {
    let bounds = RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 2.5 * f64::from(u32::try_from(host_count).expect("few hosts")),
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let table = host_table(host_count);
    let mut budgets: Vec<RetryBudget> = (0..host_count)
        .map(|_| RetryBudget::new(Duration::ZERO))
        .collect();
    let mut selectors = vec![LenderSelector::default(); host_count];
    let mut waiting: Vec<(usize, Duration)> = Vec::new();
    let (mut retries, mut requests) = (Vec::new(), Vec::new());
    let (mut moves, mut lost) = (0, 0);
    let sharing = Some(host_count);
    let mut now = Duration::from_secs(5);
    let mut next_departure = now;
    while now < LENGTH {
        now += TICK;
        let arrivals = REQUEST_RATE * TICK.as_secs_f64();
        for (index, budget) in budgets.iter_mut().enumerate() {
            let share = arrivals / f64::from(u32::try_from(host_count).expect("few hosts"));
            if rng.random_bool(share.min(1.0)) {
                budget.record_request(now, &bounds, sharing);
                requests.push((now, index));
            }
        }
        if now >= next_departure {
            next_departure += DEPARTURE_INTERVAL;
            // Callers of one zone were served there, so its hosts hold most of the generations.
            for _ in 0..MOVES_PER_DEPARTURE {
                let host = rng.random_range(0..host_count.div_ceil(3));
                waiting.push((host, now + MOVE_TIME));
                moves += 1;
            }
        }
        let pending = std::mem::take(&mut waiting);
        for (host, until) in pending {
            let purpose = RetryPurpose::Move;
            let mut is_moved = budgets[host].try_spend(purpose, now, &bounds, sharing);
            if !is_moved && with_lending {
                let region = RegionName::new(&format!("r{}", host % 3));
                for _ in 0..MAX_LENDERS {
                    let own_host = format!("h{host}");
                    let chosen = selectors[host].choose(&table, &own_host, &region, now, &mut rng);
                    let Some((name, _)) = chosen else { break };
                    let name = name.to_owned();
                    let lender: usize = name[1..].parse().expect("a number");
                    let is_asked = !rng.random_bool(LOSS);
                    let is_lent = is_asked && budgets[lender].try_lend(now, &bounds, sharing);
                    if is_lent && !rng.random_bool(LOSS) {
                        budgets[host].add_loan();
                        is_moved = budgets[host].try_spend(purpose, now, &bounds, sharing);
                        break;
                    }
                    selectors[host].record_declined(&name, now);
                }
            }
            if is_moved {
                retries.push(now);
            } else if now >= until {
                lost += 1;
            } else {
                waiting.push((host, until));
            }
        }
    }
    let within = |times: &mut dyn Iterator<Item = Duration>, end: Duration| {
        let begin = end.saturating_sub(bounds.window);
        let count = times.filter(|at| *at > begin && *at <= end).count();
        f64::from(u32::try_from(count).expect("few events"))
    };
    let worst_use = retries.iter().fold(0.0, |worst: f64, end| {
        let sent = within(&mut requests.iter().map(|(at, _)| *at), *end);
        let used = within(&mut retries.iter().copied(), *end);
        worst.max(used / (bounds.slack + bounds.ratio * sent))
    });
    FleetOutcome {
        moves,
        lost,
        worst_use,
    }
}

/// Hosts that had spent their own credit gave up generations whose copies were complete.
#[rstest]
#[case::first_deployment(79)]
#[case::second_deployment(106)]
#[case::large_fleet(300)]
fn hosts_without_credit_lose_generations(#[case] host_count: usize) {
    for seed in 0..5 {
        let without = simulate(host_count, false, seed);
        let with = simulate(host_count, true, seed);
        println!(
            "{host_count} hosts, seed {seed}: {} of {} lost without loans, {} of {} with, use {:.2}",
            without.lost, without.moves, with.lost, with.moves, with.worst_use
        );
        assert!(
            with.lost * 4 <= without.lost,
            "{} of {}",
            with.lost,
            without.lost
        );
        assert!(with.worst_use <= 1.0, "{}", with.worst_use);
    }
}

/// Credit that was lent twice would raise what the fleet may spend.
#[test]
fn a_loan_moves_credit_and_adds_none() {
    let bounds = RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 200.0,
    };
    let now = Duration::from_mins(1);
    let mut lender = RetryBudget::new(Duration::ZERO);
    assert!(
        lender.try_lend(now, &bounds, Some(80)),
        "a full budget lends"
    );
    assert!(
        !lender.try_lend(now, &bounds, Some(80)),
        "it holds less than one retry now"
    );
    let mut borrower = RetryBudget::new(now);
    borrower.add_loan();
    assert!(borrower.try_spend(RetryPurpose::Attempt, now, &bounds, Some(80)));
    assert!(!borrower.try_spend(RetryPurpose::Attempt, now, &bounds, Some(80)));
}
