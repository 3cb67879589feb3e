//! Guards against unfair or unbounded waiting in the admission queue.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::queue::{GroupQueue, LOWER_PRIORITY_INTERVAL, MAX_BYPASS_TIME};
use mimosagap_core::requests::RequestKey;
use mimosagap_core::*;
use mimosagap_rules::statement::Priority;
use mimosagap_types::prelude::*;
use rstest::rstest;
use slotmap::SlotMap;

const RULES: &str = "class urgent priority high # manager: test
class idle priority low # manager: test
share team large 3 # manager: test
queue limit 200 wait 10 s # insurer: test";

/// A harness whose only engine is full, so that requests wait.
fn full_harness() -> ReducerHarness {
    let mut harness = ReducerHarness::with_targets(RULES, 1, 0);
    harness.report(1, loaded_report(0.99));
    harness
}

fn loaded_report(memory_usage: f64) -> LoadReport {
    LoadReport {
        running: 20,
        memory_usage,
        ..load_report(1)
    }
}

fn submission_of(team: &str, class: &str) -> Submission {
    Submission {
        team: TeamName::new(team),
        class: ClassName::new(class),
        ..generation(1, true)
    }
}

/// Admits `count` waiting requests one at a time and returns them in order.
fn admit(harness: &mut ReducerHarness, count: usize) -> Vec<RequestTicket> {
    let mut tickets = Vec::new();
    while tickets.len() < count {
        harness.now += Duration::from_millis(60);
        // The report shows room for one request, and the next one shows a full engine again.
        let effects = harness.report(1, loaded_report(0.870));
        let dispatched_tickets = effects.iter().filter_map(|effect| match effect {
            Effect::Dispatch { ticket, .. } => Some(*ticket),
            _ => None,
        });
        let before = tickets.len();
        tickets.extend(dispatched_tickets);
        assert!(tickets.len() > before, "nothing was admitted");
        harness.report(1, loaded_report(0.99));
        for ticket in &tickets[before..] {
            harness.end(*ticket, 1, AttemptEnd::Cancelled);
        }
    }
    tickets
}

/// Fails if a higher priority does not go first, or if lower ones starve.
#[test]
fn higher_priorities_go_first_and_none_starves() {
    let mut harness = full_harness();
    let mut classes = BTreeMap::new();
    for class in ["idle", "other"] {
        for _ in 0..40 {
            classes.insert(harness.submit(submission_of("floors", class)).0, class);
            harness.now += Duration::from_millis(1);
        }
    }
    let order = admit(&mut harness, 40);
    let first_classes: Vec<&str> = order[..40].iter().map(|ticket| classes[ticket]).collect();
    let normal = first_classes
        .iter()
        .filter(|class| **class == "other")
        .count();
    assert!((35..=37).contains(&normal), "{first_classes:?}");
    let (urgent, _) = harness.submit(submission_of("floors", "urgent"));
    assert_eq!(admit(&mut harness, 1)[0], urgent);
}

/// Fails if a team gets less than its share beside a team that sends more.
#[test]
fn teams_share_by_weight() {
    let mut harness = full_harness();
    let mut teams = BTreeMap::new();
    for _ in 0..60 {
        teams.insert(harness.submit(submission_of("small", "other")).0, "small");
    }
    for _ in 0..60 {
        teams.insert(harness.submit(submission_of("large", "other")).0, "large");
    }
    let order = admit(&mut harness, 40);
    let large = order[..40].iter().filter(|ticket| teams[ticket] == "large");
    let count = large.count();
    assert!(
        (29..=31).contains(&count),
        "{count} of 40 for a weight of 3 against 1"
    );
}

/// Fails if a request beyond the queue's length or wait is kept, or refused without rule, outcome
/// and randomized retry delay.
#[test]
fn the_queue_is_bounded_in_length_and_wait() {
    let mut harness = full_harness();
    for _ in 0..200 {
        assert!(
            harness
                .submit(submission_of("floors", "other"))
                .1
                .is_empty()
        );
    }
    let (_, effects) = harness.submit(submission_of("floors", "other"));
    let mut refusals = vec![refused(&effects).expect("the queue is full").clone()];
    assert_eq!(harness.reducer.queue_length(), 200);
    for _ in 0..9 {
        let effects = harness.advance(Duration::from_millis(1_100));
        assert!(effects.is_empty(), "{effects:?}");
        harness.report(1, loaded_report(0.99));
    }
    let effects = harness.advance(Duration::from_millis(100));
    refusals.extend(effects.iter().filter_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    }));
    assert_eq!(refusals.len(), 201);
    assert_eq!(harness.reducer.queue_length(), 0);
    for refusal in &refusals {
        assert_eq!(refusal.cause, RefusalCause::Overloaded);
        assert_eq!(refusal.outcome, RunOutcome::NotRun);
        assert_eq!(refusal.rule.as_ref().map(|rule| rule.line), Some(4));
    }
    let mut waits: Vec<_> = refusals
        .iter()
        .filter_map(|refusal| refusal.retry_after)
        .collect();
    waits.sort();
    waits.dedup();
    assert!(waits.len() > 150, "the retry delays are not spread");
}

/// Fails if a request that left the queue still counts towards its length.
#[rstest]
#[case(false)]
#[case(true)]
fn requests_that_leave_the_queue_are_not_counted(#[case] by_rule: bool) {
    let mut harness = full_harness();
    let (ticket, _) = harness.submit(submission_of("floors", "other"));
    harness.submit(submission_of("small", "other"));
    let effects = if by_rule {
        let text = format!("{RULES}\nrefuse team floors # insurer: unpaid");
        harness.step(Event::RulesReceived(rules(2, &text)))
    } else {
        harness.step(Event::CallerLeft { ticket })
    };
    let refusal = refused(&effects).expect("the request is refused");
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(refusal.rule.is_some(), by_rule);
    assert_eq!(harness.reducer.queue_length(), 1);
    assert_eq!(harness.reducer.queue_views()[0].length, 1);
}

/// Fails if a waiting request is not sent when an engine gets room, or if its wait is not recorded.
#[test]
fn a_waiting_request_is_sent_when_there_is_room() {
    let mut harness = full_harness();
    harness.submit(submission_of("floors", "other"));
    harness.now += Duration::from_millis(300);
    let effects = harness.report(1, loaded_report(0.1));
    assert!(dispatched(&effects).is_some());
    let wait = effects.iter().find_map(|effect| match effect {
        Effect::ObserveQueueWait { wait, .. } => Some(*wait),
        _ => None,
    });
    assert_eq!(wait, Some(Duration::from_millis(300)));
}

/// Fails if a low-priority request that is next but does not fit blocks high-priority ones at once,
/// or never.
#[test]
fn high_priority_requests_bypass_a_blocked_one_for_a_limited_time() {
    let mut keys: SlotMap<RequestKey, ()> = SlotMap::with_key();
    let mut queue = GroupQueue::default();
    let now = Instant::now();
    let team = TeamName::new("floors");
    let low_key = keys.insert(());
    queue.push(low_key, Priority::Low, &team, 1.0, 1.0, now);
    for _ in 0..20 {
        queue.push(keys.insert(()), Priority::High, &team, 1.0, 1.0, now);
    }
    for _ in 1..LOWER_PRIORITY_INTERVAL {
        let (level, key) = queue.head().expect("requests wait");
        assert_ne!(key, low_key);
        queue.pop(level);
    }
    assert_eq!(queue.head().map(|(_, key)| key), Some(low_key));
    let (level, key) = queue.bypass(now).expect("an urgent request may pass");
    assert_eq!(queue.pop(level), Some(key));
    assert_ne!(key, low_key);
    assert!(queue.bypass(now + MAX_BYPASS_TIME).is_none());
    let (level, _) = queue.head().expect("the low request");
    assert_eq!(queue.pop(level), Some(low_key));
    assert_eq!(queue.len(), 10);
}
