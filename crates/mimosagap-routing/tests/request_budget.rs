//! Which requests get memory, and which are refused or evicted when it runs short.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use mimosagap_routing::request_budget::{
    BudgetLimits, BudgetRefusal, RECEIVE_BUFFER_BYTES, REQUEST_OVERHEAD_BYTES, RequestBudget,
    RequestHolder, RequestKey,
};
use mimosagap_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const MIB: usize = 1 << 20;

/// The longest body that the documentation for callers allows.
const MAX_BODY_BYTES: usize = 4 * MIB;

fn holder(number: u32) -> RequestHolder {
    RequestHolder {
        address: IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number)),
        team: None,
    }
}

fn budget(memory_mb: usize) -> RequestBudget {
    RequestBudget::new(BudgetLimits::with_memory(memory_mb * MIB))
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn admitted(budget: &mut RequestBudget, number: u32, bytes: usize, now: Duration) -> RequestKey {
    let decision = budget.admit(holder(number), Some(bytes), now);
    decision.result.expect("there is room")
}

/// Sends a body in pieces of one size. Returns whether all of it was admitted.
fn receive_all(
    budget: &mut RequestBudget,
    key: RequestKey,
    length: usize,
    piece: usize,
    now: Duration,
) -> bool {
    let mut left = length;
    while left > 0 {
        let bytes = piece.min(left);
        if budget.receive(key, bytes, now).result.is_err() {
            return false;
        }
        left -= bytes;
    }
    true
}

/// A caller within the limits got 503 on a host that did nothing else.
#[rstest]
fn a_single_body_of_the_longest_length_is_admitted(
    #[values(64, 88, 110, 512)] memory_mb: usize,
    #[values(true, false)] is_declared: bool,
    #[values(16, 16 << 10, MAX_BODY_BYTES)] piece: usize,
) {
    let mut budget = budget(memory_mb);
    let declared = is_declared.then_some(MAX_BODY_BYTES);
    let decision = budget.admit(holder(1), declared, Duration::ZERO);
    let key = decision.result.expect("the host is empty");
    assert!(receive_all(
        &mut budget,
        key,
        MAX_BODY_BYTES,
        piece,
        Duration::ZERO
    ));
    budget.complete(key);
    budget.release(key, Duration::ZERO);
    assert_eq!(budget.used_bytes(), 0);
}

/// A client of the crowd sends a large body without its last byte and stays connected.
#[derive(Debug, Clone, Copy)]
enum Crowd {
    Declared,
    LargeChunks,
    TinyChunks,
}

/// The crowd's bodies exceeded the memory of the host, although each was within the limit. Small
/// requests of other callers must be admitted all the while.
#[rstest]
#[case(Crowd::Declared)]
#[case(Crowd::LargeChunks)]
#[case(Crowd::TinyChunks)]
fn a_crowd_of_stalled_bodies_stays_within_the_budget(#[case] crowd: Crowd) {
    let memory_bytes = 88 * MIB;
    let mut budget = budget(88);
    let capacity_bytes = budget.limits().capacity_bytes;
    let mut held_without_budget = 0;
    for number in 0..120 {
        let now = seconds(0.01 * f64::from(number));
        held_without_budget += MAX_BODY_BYTES - 1;
        let declared = matches!(crowd, Crowd::Declared).then_some(MAX_BODY_BYTES);
        let piece = match crowd {
            Crowd::Declared | Crowd::LargeChunks => 16 << 10,
            Crowd::TinyChunks => 16,
        };
        let decision = budget.admit(holder(number % 7), declared, now);
        if let Ok(key) = decision.result
            && !receive_all(&mut budget, key, MAX_BODY_BYTES - 1, piece, now)
        {
            budget.release(key, now);
        }
        assert!(budget.used_bytes() <= capacity_bytes);
        let small = admitted(&mut budget, 1_000 + number, 12 << 10, now);
        budget.complete(small);
        budget.release(small, now);
    }
    assert!(
        held_without_budget > memory_bytes,
        "the crowd exceeds the host"
    );
}

/// A body that made little progress for longest held its memory while new ones were refused.
#[test]
fn the_most_stalled_body_is_evicted_first() {
    let mut budget = budget(88);
    let first = admitted(&mut budget, 1, 4 * MIB, seconds(0.0));
    let second = admitted(&mut budget, 2, 4 * MIB, seconds(0.1));
    let third = admitted(&mut budget, 3, 4 * MIB, seconds(0.2));
    // The first one is slow but not stalled; the third one sends single bytes.
    for step in 0..30 {
        let now = seconds(0.3 + 0.1 * f64::from(step));
        assert!(budget.receive(first, 1 << 10, now).result.is_ok());
        assert!(budget.receive(third, 1, now).result.is_ok());
    }
    let decision = budget.admit(holder(4), Some(4 * MIB), seconds(3.3));
    assert!(decision.result.is_ok());
    let keys: Vec<RequestKey> = decision
        .evictions
        .iter()
        .map(|eviction| eviction.key)
        .collect();
    assert_eq!(keys, [second]);
    let decision = budget.admit(holder(5), Some(4 * MIB), seconds(3.3));
    assert_eq!(decision.evictions[0].key, third);
    assert_eq!(decision.evictions[0].received_bytes, 30);
    assert!(budget.receive(first, 1, seconds(3.4)).result.is_ok());
    let evicted = budget.receive(second, 1, seconds(3.4));
    assert_eq!(evicted.result, Err(BudgetRefusal::Evicted));
}

/// Bodies that make progress must not lose to newer ones of the same length.
#[test]
fn a_new_large_body_is_refused_while_the_others_make_progress() {
    let mut budget = budget(88);
    for number in 0..3 {
        admitted(&mut budget, number, 4 * MIB, seconds(0.0));
    }
    let decision = budget.admit(holder(9), Some(4 * MIB), seconds(0.5));
    assert_eq!(decision.result, Err(BudgetRefusal::Exhausted));
    assert!(decision.evictions.is_empty());
}

/// Requests at targets were cut off for a crowd; their callers could not know whether they had run.
#[test]
fn a_complete_request_is_never_evicted() {
    let mut budget = budget(88);
    for number in 0..3 {
        let key = admitted(&mut budget, number, 4 * MIB, seconds(0.0));
        assert!(budget.receive(key, 4 * MIB, seconds(0.0)).result.is_ok());
        budget.complete(key);
    }
    let decision = budget.admit(holder(9), Some(4 * MIB), seconds(900.0));
    assert_eq!(decision.result, Err(BudgetRefusal::Exhausted));
    assert!(decision.evictions.is_empty());
    assert_eq!(budget.evict_stalled(seconds(900.0)), None);
}

/// One address or one team that sends many large bodies must not shut out the others.
#[rstest]
#[case::address(None)]
#[case::team(Some("t"))]
fn one_holder_uses_only_its_share(#[case] team: Option<&str>) {
    let mut budget = budget(110);
    let capacity_bytes = budget.limits().capacity_bytes;
    let mut refusals = 0;
    for number in 0..20 {
        let greedy = RequestHolder {
            team: team.map(TeamName::new),
            ..holder(if team.is_some() { number } else { 1 })
        };
        let decision = budget.admit(greedy, Some(MIB), seconds(0.0));
        refusals += u32::from(decision.result == Err(BudgetRefusal::HolderShare));
    }
    assert!(refusals > 0);
    assert!(budget.used_bytes() <= capacity_bytes / 2);
    admitted(&mut budget, 100, 4 * MIB, seconds(0.0));
}

/// A client behind the same address as a crowd, as with a proxy, still gets its small requests
/// served.
#[test]
fn a_small_request_is_admitted_beside_large_bodies_of_its_address() {
    let mut budget = budget(88);
    while budget
        .admit(holder(1), Some(MIB), seconds(0.0))
        .result
        .is_ok()
    {}
    admitted(&mut budget, 1, 12 << 10, seconds(0.1));
}

/// Small requests that stall used up the reserve and shut out ordinary ones.
#[test]
fn a_crowd_of_stalled_small_requests_gives_way() {
    let mut budget = budget(88);
    for number in 0..5_000 {
        let now = seconds(0.001 * f64::from(number));
        let key = budget.admit(holder(number % 11), None, now).result;
        if let Ok(key) = key {
            // All but the end of a small body.
            let _ = budget.receive(key, 1_000, now);
        }
        assert!(budget.used_bytes() <= budget.limits().capacity_bytes);
    }
    admitted(&mut budget, 100, 12 << 10, seconds(6.5));
}

#[test]
fn a_small_request_takes_the_place_of_the_newest_large_body() {
    let mut budget = budget(64);
    let limits = *budget.limits();
    let large = admitted(&mut budget, 1, 4 * MIB, seconds(0.0));
    let newer = admitted(&mut budget, 2, 4 * MIB, seconds(0.0));
    let mut number = 10;
    let evictions = loop {
        let decision = budget.admit(holder(number), Some(12 << 10), seconds(0.0));
        let key = decision.result.expect("large bodies give way");
        assert!(budget.receive(key, 12 << 10, seconds(0.0)).result.is_ok());
        budget.complete(key);
        number += 1;
        if !decision.evictions.is_empty() {
            break decision.evictions;
        }
    };
    assert_eq!(evictions.len(), 1);
    assert_eq!(evictions[0].key, newer);
    assert!(budget.used_bytes() > limits.capacity_bytes / 2);
    assert!(budget.receive(large, 1, seconds(0.0)).result.is_ok());
}

#[test]
fn the_charge_covers_the_head_and_the_buffer_of_the_kernel() {
    let mut budget = budget(88);
    let key = admitted(&mut budget, 1, MIB, seconds(0.0));
    let usage = budget.usage();
    assert_eq!(
        usage.reading_bytes,
        MIB + REQUEST_OVERHEAD_BYTES + RECEIVE_BUFFER_BYTES
    );
    assert!(budget.receive(key, MIB, seconds(0.0)).result.is_ok());
    budget.complete(key);
    assert_eq!(budget.usage().reading_bytes, 0);
    assert_eq!(
        budget.usage().complete_bytes,
        MIB + REQUEST_OVERHEAD_BYTES,
        "the kernel has passed on everything"
    );
}

/// Refused callers all returned at once, however long the budget took to be released.
#[test]
fn callers_return_later_the_slower_the_budget_is_released() {
    let mut fast = budget(88);
    let mut slow = budget(88);
    for step in 0..50 {
        let now = seconds(0.1 * f64::from(step));
        let key = admitted(&mut fast, 1, 4 * MIB, now);
        fast.release(key, now);
        let key = admitted(&mut slow, 1, 64 << 10, now);
        slow.release(key, now);
    }
    let now = seconds(5.0);
    assert!(fast.retry_delay(now) < slow.retry_delay(now));
    assert_eq!(fast.retry_delay(now), seconds(0.5));
    assert_eq!(budget(88).retry_delay(now), seconds(5.0));
    assert_eq!(fast.retry_delay(seconds(100.0)), seconds(5.0));
}

/// The charges must add up whatever the order of events; a drift would shut out all requests in
/// the end or lift the bound.
#[test]
fn the_budget_is_empty_after_any_sequence_of_events() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = budget(64);
        let mut keys: Vec<RequestKey> = Vec::new();
        let mut now = Duration::ZERO;
        for _ in 0..2_000 {
            now += Duration::from_millis(rng.random_range(0..60));
            match rng.random_range(0..6) {
                0 => {
                    let length = rng.random_range(0..2 * MIB);
                    let declared = rng.random_bool(0.5).then_some(length);
                    let decision = budget.admit(holder(rng.random_range(0..9)), declared, now);
                    keys.extend(decision.result);
                }
                1 if !keys.is_empty() => {
                    let key = keys.swap_remove(rng.random_range(0..keys.len()));
                    budget.release(key, now);
                }
                2 if !keys.is_empty() => budget.complete(keys[rng.random_range(0..keys.len())]),
                3 => {
                    budget.evict_stalled(now);
                }
                _ if !keys.is_empty() => {
                    let key = keys[rng.random_range(0..keys.len())];
                    let bytes = rng.random_range(0..200 << 10);
                    let _ = budget.receive(key, bytes, now);
                }
                _ => {}
            }
            assert!(budget.used_bytes() <= budget.limits().capacity_bytes);
            let usage = budget.usage();
            assert_eq!(
                usage.reading_bytes + usage.complete_bytes,
                budget.used_bytes()
            );
        }
        for key in keys {
            budget.release(key, now);
        }
        assert_eq!(budget.used_bytes(), 0);
    }
}
