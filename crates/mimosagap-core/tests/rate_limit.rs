//! Guards against teams that exceed their limits, and against credit that is lost or granted twice.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::rate_limit::{CREDIT_TTL, LENDER_SLOTS, lender_slot};
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;

const LIMIT: &str = "limit team floors 10 requests/s burst 5 # insurer: capacity";
const RATE: f64 = 10.0;
const BURST: f64 = 5.0;

fn team() -> TeamName {
    TeamName::new("floors")
}

fn holders_changed(holder: Option<&str>) -> Event {
    Event::SlotHoldersChanged(vec![holder.map(DaemonId::new); usize::from(LENDER_SLOTS)])
}

fn all_slots_held(until: Instant) -> Event {
    let slots = (0..LENDER_SLOTS).collect();
    Event::LenderSlotsHeld { slots, until }
}

fn lender_harness() -> ReducerHarness {
    let mut harness = ReducerHarness::with_targets(LIMIT, 0, 1);
    harness.step(holders_changed(Some("a")));
    let until = harness.now + Duration::from_mins(1);
    harness.step(all_slots_held(until));
    harness
}

fn credit_requested(request_id: u64, wanted: u32) -> Event {
    let team = team();
    Event::CreditRequested {
        request_id,
        team,
        wanted,
    }
}

fn granted_credit(effects: &[Effect]) -> Option<u32> {
    effects.iter().find_map(|effect| match effect {
        Effect::AnswerCredit { granted, .. } => Some(*granted),
        _ => None,
    })
}

fn request_credit(harness: &mut ReducerHarness, wanted: u32) -> u32 {
    let event = credit_requested(1, wanted);
    granted_credit(&harness.step(event)).expect("an answer")
}

/// Fails if a new lender grants credit while that of its predecessor may be valid, starts with a
/// full bucket, or grants more than the burst.
#[test]
fn a_new_lender_waits_and_starts_empty() {
    let mut harness = lender_harness();
    assert_eq!(request_credit(&mut harness, 5), 0);
    harness.advance(Duration::from_millis(1_999));
    assert_eq!(request_credit(&mut harness, 5), 0);
    harness.advance(Duration::from_millis(201));
    assert_eq!(request_credit(&mut harness, 5), 2);
    harness.advance(Duration::from_secs(30));
    assert_eq!(request_credit(&mut harness, 50), 5);
}

/// Fails if a daemon grants credit after its lease on the slot has expired by its own clock.
#[test]
fn a_lender_with_an_expired_lease_grants_nothing() {
    let mut harness = lender_harness();
    harness.advance(Duration::from_secs(30));
    assert_eq!(request_credit(&mut harness, 1), 1);
    harness.advance(Duration::from_secs(31));
    assert_eq!(request_credit(&mut harness, 1), 0);
}

/// Fails if a refusal for a rate limit does not name the rule and a retry delay.
#[test]
fn a_refusal_names_the_rate_limit_rule() {
    let mut harness = ReducerHarness::with_targets(LIMIT, 0, 1);
    let (_, effects) = harness.submit(call(1));
    let refusal = refused(&effects).expect("no lender is known");
    assert_eq!(refusal.cause, RefusalCause::LimitReached);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
    let rule = refusal.rule.as_ref().expect("the limit's rule");
    assert_eq!(
        (rule.line, rule.asked_by.as_str()),
        (1, "insurer: capacity")
    );
}

fn borrower_harness() -> (ReducerHarness, RequestTicket) {
    let mut harness = ReducerHarness::with_targets(LIMIT, 0, 1);
    harness.step(holders_changed(Some("b")));
    let (ticket, effects) = harness.submit(call(1));
    assert!(matches!(effects[..], [Effect::RequestCredit { .. }]));
    (harness, ticket)
}

fn credit_granted(granted: u32, requested_at: Instant) -> Event {
    Event::CreditGranted {
        team: team(),
        granted,
        requested_at,
    }
}

/// Fails if a repeated or late answer of a lender grants credit again.
#[test]
fn a_repeated_answer_grants_no_credit() {
    let (mut harness, _) = borrower_harness();
    let requested_at = harness.now;
    assert!(dispatched(&harness.step(credit_granted(1, requested_at))).is_some());
    assert!(harness.step(credit_granted(1, requested_at)).is_empty());
    harness.now += Duration::from_millis(1);
    let (_, effects) = harness.submit(call(2));
    assert!(matches!(effects[..], [Effect::RequestCredit { .. }]));
    // The repeated answer must not be taken for the answer to the new request.
    assert!(harness.step(credit_granted(1, requested_at)).is_empty());
    let requested_at = harness.now;
    assert!(dispatched(&harness.step(credit_granted(1, requested_at))).is_some());
}

/// Fails if credit is used after its lifetime, which counts from before the request was sent.
#[test]
fn credit_expires() {
    let (mut harness, ticket) = borrower_harness();
    let requested_at = harness.now;
    harness.now += CREDIT_TTL;
    let effects = harness.step(credit_granted(1, requested_at));
    assert!(dispatched(&effects).is_none());
    assert!(matches!(effects[..], [Effect::RequestCredit { .. }]));
    let effects = harness.step(Event::CreditFailed { team: team() });
    assert!(matches!(&effects[..], [Effect::Refuse { ticket: t, .. }] if *t == ticket));
}

/// Fails if a request waits indefinitely for a lender that does not answer.
#[test]
fn requests_are_refused_when_the_lender_does_not_answer() {
    let (mut harness, _) = borrower_harness();
    let effects = harness.advance(Duration::from_secs(1));
    assert!(refused(&effects).is_some());
}

/// Fails if the slot of a team differs between builds: all daemons must compute the same.
#[test]
fn lender_slots_are_stable() {
    assert_eq!(lender_slot(&TeamName::new("floors")), 6);
    assert_eq!(lender_slot(&TeamName::new("kitchens")), 12);
}

/// Credit granted and used over all daemons, with times.
#[derive(Default)]
struct CreditLedger {
    granted: Vec<(Instant, u32)>,
    used_at: Vec<Instant>,
}

impl CreditLedger {
    fn check(&self) {
        for (position, (start, _)) in self.granted.iter().enumerate() {
            let mut sum = 0.0;
            for (at, amount) in &self.granted[position..] {
                sum += f64::from(*amount);
                let bound = RATE * (*at - *start).as_secs_f64() + BURST;
                assert!(
                    sum <= bound + 1e-6,
                    "granted {sum} where {bound} are allowed"
                );
            }
        }
        for (position, start) in self.used_at.iter().enumerate() {
            for (count, at) in (1_u32..).zip(&self.used_at[position..]) {
                let window = *at - *start + CREDIT_TTL;
                let bound = RATE * window.as_secs_f64() + BURST;
                assert!(f64::from(count) <= bound + 1e-6, "used {count} of {bound}");
            }
        }
    }
}

const NAMES: [&str; 3] = ["a", "b", "c"];

/// A lease on the slot. Its holder may act until 2 s before it ends.
struct SlotLease {
    holder: usize,
    ends_at: Instant,
}

fn run_actions(actions: &[(u8, u16)]) {
    let mut now = Instant::now();
    let mut ledger = CreditLedger::default();
    let mut reducers: Vec<DaemonReducer> = NAMES
        .iter()
        .map(|name| DaemonReducer::new(options(name)))
        .collect();
    let mut lease: Option<SlotLease> = None;
    let mut messages: Vec<(usize, Event)> = Vec::new();
    let mut credit_requests: BTreeMap<u64, (usize, Instant)> = BTreeMap::new();
    let mut tickets = 0;
    for reducer in &mut reducers {
        reducer.reduce(now, Event::StoreReached, &mut Vec::new());
        reducer.reduce(now, Event::RulesReceived(rules(1, LIMIT)), &mut Vec::new());
        let list = vec![listed(service(1), false)];
        reducer.reduce(now, Event::TargetsListed(list), &mut Vec::new());
    }
    for (action, number) in actions {
        let index = usize::from(*number) % NAMES.len();
        let elapsed = Duration::from_millis(u64::from(number / 3));
        let (mut to, mut event) = (index, Event::StoreReached);
        let mut is_lender = false;
        match action % 12 {
            0..=4 => {
                tickets += 1;
                let ticket = RequestTicket(tickets);
                let submission = call(1);
                event = Event::Submitted { ticket, submission };
                is_lender = lease.as_ref().is_some_and(|lease| lease.holder == index);
            }
            5 => now += elapsed,
            6 => now += elapsed / 20,
            7 if lease.as_ref().is_none_or(|lease| lease.ends_at <= now) => {
                lease = Some(SlotLease {
                    holder: index,
                    ends_at: now + Duration::from_secs(10),
                });
                event = all_slots_held(now + Duration::from_secs(8));
                for other in 0..NAMES.len() {
                    messages.push((other, holders_changed(Some(NAMES[index]))));
                }
            }
            8 => {
                // The holder renews its lease unless it has expired.
                let held = lease.as_mut().filter(|lease| lease.ends_at > now);
                if let Some(lease) = held {
                    lease.ends_at = now + Duration::from_secs(10);
                    to = lease.holder;
                    event = all_slots_held(now + Duration::from_secs(8));
                }
            }
            9 | 10 if !messages.is_empty() => {
                let position = usize::from(*number) % messages.len();
                (to, event) = messages.remove(position);
            }
            11 if !messages.is_empty() => {
                let position = usize::from(*number) % messages.len();
                (to, event) = messages[position].clone();
            }
            _ => event = Event::Tick,
        }
        // A credit request that arrives twice is answered twice; the borrower accepts one answer.
        let mut effects = Vec::new();
        reducers[to].reduce(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::RequestCredit { holder, wanted, .. } => {
                    let holder = NAMES.iter().position(|name| *name == holder.as_str());
                    let request_id = credit_requests.len() as u64;
                    credit_requests.insert(request_id, (to, now));
                    let event = credit_requested(request_id, wanted);
                    messages.push((holder.expect("a daemon"), event));
                }
                Effect::AnswerCredit {
                    request_id,
                    granted: units,
                    ..
                } => {
                    ledger.granted.push((now, units));
                    let (borrower, requested_at) = credit_requests[&request_id];
                    messages.push((borrower, credit_granted(units, requested_at)));
                }
                Effect::Dispatch { .. } => {
                    ledger.used_at.push(now);
                    if is_lender && reducers[to].limit_views(now)[0].usage.is_lender {
                        ledger.granted.push((now, 1));
                    }
                }
                _ => {}
            }
        }
    }
    ledger.check();
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(300)
    })]

    /// Fails if several daemons with changing lenders grant more than rate x window + burst in any
    /// window, or use more than that plus the credit still valid from before.
    #[test]
    fn the_sum_of_all_credit_stays_within_the_limit(
        actions in vec((any::<u8>(), any::<u16>()), 1..500),
    ) {
        run_actions(&actions);
    }
}
