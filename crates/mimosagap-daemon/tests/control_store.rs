//! Tests of the control tasks with the store: membership, rules, claims, suspects and lender slots.

mod control_support;

use std::time::{Duration, Instant};

use control_support::store::MemoryStore;
use control_support::{ControlDaemon, apply_rules, order_key, wait_for};
use mimosagap_core::{ClaimAnswer, Effect, Event, SuspectState, TrialAnswer};
use mimosagap_daemon::control::RecordedResponse;
use mimosagap_types::prelude::*;
use tokio::time::sleep;

/// Guards against daemons that do not see each other, and against a membership record that stays
/// for its whole TTL after a regular stop.
#[tokio::test(flavor = "multi_thread")]
async fn members_join_and_leave() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    let both_ids = [&daemon_a, &daemon_b].map(|daemon| daemon.id.clone());
    for daemon in [&daemon_a, &daemon_b] {
        wait_for("both members", || {
            (daemon.member_ids() == both_ids).then_some(())
        })
        .await;
    }
    daemon_b.control.stop();
    daemon_b.control.wait_until_stopped().await;
    let started_at = Instant::now();
    wait_for("the removal of daemon B", || {
        (daemon_a.member_ids() == both_ids[..1]).then_some(())
    })
    .await;
    assert!(started_at.elapsed() < Duration::from_secs(2));
}

/// Guards against a daemon that continues as member and lender although its lease expired, as when
/// its process is paused.
#[tokio::test(flavor = "multi_thread")]
async fn expired_lease_is_detected_and_replaced() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    wait_for("all slots", || {
        (daemon_a.held_slots().len() == 16).then_some(())
    })
    .await;
    store.expire_all_leases();
    wait_for("no slots", || {
        daemon_a.held_slots().is_empty().then_some(())
    })
    .await;
    wait_for("the new lease", || {
        (daemon_a.control.counts().lease_losses == 1).then_some(())
    })
    .await;
    wait_for("all slots again", || {
        (daemon_a.held_slots().len() == 16).then_some(())
    })
    .await;
    let other_daemon = ControlDaemon::start(&store, &[]);
    wait_for("the record", || {
        other_daemon
            .member_ids()
            .contains(&daemon_a.id)
            .then_some(())
    })
    .await;
}

/// Guards against a daemon that relies on its slots for longer than the lease TTL minus the safety
/// margin, counted from before the renewal.
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_trusted_for_less_than_the_ttl() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    wait_for("slots", || {
        (!daemon_a.held_slots().is_empty()).then_some(())
    })
    .await;
    let now = Instant::now();
    let valid_until_times = daemon_a.collect_events(|event| match event {
        Event::LenderSlotsHeld { until, .. } => Some(*until),
        _ => None,
    });
    assert!(
        valid_until_times
            .iter()
            .all(|until| *until <= now + Duration::from_secs(8))
    );
}

/// Guards against rules that become active only after a restart, and against changes that are read
/// as full text instead of as deltas.
#[tokio::test(flavor = "multi_thread")]
async fn rules_arrive_by_watch_as_deltas() {
    let store = MemoryStore::start();
    let daemons = [
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    ];
    for daemon in &daemons {
        daemon.wait_for_revision(0).await;
    }
    for _ in 0..3 {
        let revision = apply_rules(&store).await;
        for daemon in &daemons {
            daemon.wait_for_revision(revision).await;
        }
    }
    for daemon in &daemons {
        assert_eq!(daemon.rule_revisions(), [0, 1, 2, 3]);
        assert_eq!(daemon.control.counts().rules_from_delta, 3);
    }
}

/// Guards against changes that are missed while a watch is silent or broken.
#[tokio::test(flavor = "multi_thread")]
async fn broken_watch_is_followed_by_a_read() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    wait_for("the watch", || {
        (store.call_count("/v3/watch") == 1).then_some(())
    })
    .await;
    sleep(Duration::from_millis(50)).await;
    store.close_watches();
    apply_rules(&store).await;
    daemon_a.wait_for_revision(1).await;
    store.set_watches_silent(true);
    apply_rules(&store).await;
    let started_at = Instant::now();
    daemon_a.wait_for_revision(2).await;
    assert!(started_at.elapsed() < Duration::from_secs(5));
    assert!(daemon_a.control.counts().watch_breaks >= 2);
}

/// Guards against an order that is refused, or sent without its claim, because a response of the
/// store was lost.
#[tokio::test(flavor = "multi_thread")]
async fn claim_survives_a_lost_response() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    daemon_a.wait_until_registered().await;
    assert_eq!(daemon_a.claim(1, "k1", "b").await, ClaimAnswer::Acquired);
    store.drop_responses(1);
    assert_eq!(daemon_a.claim(2, "k2", "b").await, ClaimAnswer::Acquired);
}

/// Repeats the claim until the daemon has noticed that the store is available again.
async fn claim_when_available(daemon: &ControlDaemon, key: &str, body: &str) -> ClaimAnswer {
    let mut answer = ClaimAnswer::Unavailable;
    for ticket in 1..50 {
        answer = daemon.claim(ticket, key, body).await;
        if answer != ClaimAnswer::Unavailable {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    answer
}

/// Guards against a claim of uncertain outcome that is reported as not written, and against its
/// order staying `unknown` for 24 h although this daemon never sent it.
#[tokio::test(flavor = "multi_thread")]
async fn uncertain_claim_is_withdrawn() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    daemon_a.wait_until_registered().await;
    assert_eq!(daemon_a.claim(1, "first", "b").await, ClaimAnswer::Acquired);
    store.drop_responses(u32::MAX);
    assert_eq!(daemon_a.claim(2, "k", "b").await, ClaimAnswer::Uncertain);
    store.drop_responses(0);
    wait_for("the mark that the order was not run", || {
        (daemon_a.control.counts().results_recorded == 1).then_some(())
    })
    .await;
    let answer = claim_when_available(&daemon_b, "k", "b").await;
    assert_eq!(answer, ClaimAnswer::Acquired);
}

/// Guards against an order that two daemons claim successfully at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn claim_raced_by_two_daemons_has_one_winner() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    daemon_a.wait_until_registered().await;
    daemon_b.wait_until_registered().await;
    for ticket in 0..20 {
        let key = format!("k{ticket}");
        daemon_a.send_claim(ticket, &key, "b");
        daemon_b.send_claim(ticket, &key, "b");
    }
    for ticket in 0..20 {
        let answers = [
            daemon_a.wait_for_claim_answer(ticket).await,
            daemon_b.wait_for_claim_answer(ticket).await,
        ];
        let winners = answers
            .iter()
            .filter(|answer| **answer == ClaimAnswer::Acquired);
        assert_eq!(winners.count(), 1, "{answers:?}");
        assert!(answers.contains(&ClaimAnswer::InProgress), "{answers:?}");
    }
}

/// Guards against a key that is accepted for two orders, a repeated request that runs again, and
/// one that never runs although the first daemon sent nothing.
#[tokio::test(flavor = "multi_thread")]
async fn claims_answer_repeated_requests() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    daemon_a.wait_until_registered().await;
    daemon_b.wait_until_registered().await;
    assert_eq!(daemon_a.claim(1, "ran", "b").await, ClaimAnswer::Acquired);
    assert_eq!(
        daemon_a.claim(2, "unsent", "b").await,
        ClaimAnswer::Acquired
    );
    assert_eq!(
        daemon_b.claim(3, "ran", "other").await,
        ClaimAnswer::BodyMismatch
    );
    assert_eq!(daemon_b.claim(4, "ran", "b").await, ClaimAnswer::InProgress);
    let response = RecordedResponse {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: Some(b"booked".to_vec()),
    };
    daemon_a
        .control
        .record_result(order_key("ran"), response.clone());
    daemon_a.control.execute_effect(Effect::RecordNotRun {
        ticket: RequestTicket(2),
        key: order_key("unsent"),
    });
    wait_for("the records", || {
        (daemon_a.control.counts().results_recorded == 2).then_some(())
    })
    .await;
    assert_eq!(daemon_b.claim(5, "ran", "b").await, ClaimAnswer::AlreadyRan);
    assert_eq!(
        daemon_b.control.take_recorded_response(RequestTicket(5)),
        Some(response)
    );
    assert_eq!(
        daemon_b.claim(6, "unsent", "b").await,
        ClaimAnswer::Acquired
    );
}

/// Guards against a repeated request that is answered with `unknown` because it arrives between the
/// first response and its record.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_request_waits_for_a_result_that_is_being_recorded() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    daemon_a.wait_until_registered().await;
    daemon_b.wait_until_registered().await;
    assert_eq!(daemon_a.claim(1, "k", "b").await, ClaimAnswer::Acquired);
    daemon_b.send_claim(2, "k", "b");
    sleep(Duration::from_millis(30)).await;
    let response = RecordedResponse {
        status: 500,
        content_type: None,
        body: None,
    };
    daemon_a.control.record_result(order_key("k"), response);
    assert_eq!(
        daemon_b.wait_for_claim_answer(2).await,
        ClaimAnswer::AlreadyRan
    );
}

/// Guards against a result that is lost because the store was down when the target responded.
#[tokio::test(flavor = "multi_thread")]
async fn results_wait_for_the_store() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    daemon_a.wait_until_registered().await;
    assert_eq!(daemon_a.claim(1, "k", "b").await, ClaimAnswer::Acquired);
    store.set_down(true);
    let response = RecordedResponse {
        status: 200,
        content_type: None,
        body: None,
    };
    daemon_a.control.record_result(order_key("k"), response);
    sleep(Duration::from_millis(500)).await;
    store.set_down(false);
    wait_for("the record", || {
        (daemon_a.control.counts().results_recorded == 1).then_some(())
    })
    .await;
    let answer = claim_when_available(&daemon_b, "k", "b").await;
    assert_eq!(answer, ClaimAnswer::AlreadyRan);
}

/// Guards against one call to the store per claim, which exceeds the store's capacity.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_batched() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    daemon_a.wait_until_registered().await;
    assert_eq!(
        daemon_a.claim(1_000, "first", "b").await,
        ClaimAnswer::Acquired
    );
    let batches_before = daemon_a.control.counts().claim_batches;
    for ticket in 0..200 {
        daemon_a.send_claim(ticket, &format!("k{ticket}"), "b");
    }
    for ticket in 0..200 {
        assert_eq!(
            daemon_a.wait_for_claim_answer(ticket).await,
            ClaimAnswer::Acquired
        );
    }
    let batches = daemon_a.control.counts().claim_batches - batches_before;
    assert!(batches <= 20, "{batches} transactions for 200 claims");
}

/// Guards against callers that wait for a store that is down, and against calls that pile up.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_refused_at_once_while_the_store_is_down() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    daemon_a.wait_until_registered().await;
    store.set_down(true);
    wait_for("the outage", || {
        (daemon_a.control.counts().watch_breaks >= 2).then_some(())
    })
    .await;
    let count_calls = |daemon: &ControlDaemon| {
        daemon
            .control
            .counts()
            .store
            .iter()
            .map(|(_, count)| count.calls)
            .sum::<u64>()
    };
    let (calls_before, started_at) = (count_calls(&daemon_a), Instant::now());
    for ticket in 0..500 {
        daemon_a.send_claim(ticket, &format!("k{ticket}"), "b");
    }
    for ticket in 0..500 {
        assert_eq!(
            daemon_a.wait_for_claim_answer(ticket).await,
            ClaimAnswer::Unavailable
        );
    }
    assert!(started_at.elapsed() < Duration::from_millis(500));
    sleep(Duration::from_secs(2)).await;
    let call_count = count_calls(&daemon_a) - calls_before;
    assert!(call_count <= 20, "{call_count} calls in 2 s of an outage");
}

/// Guards against two daemons that try the same suspect at once, against a trial of a request that
/// is not suspected, and against a blocked request that runs again.
#[tokio::test(flavor = "multi_thread")]
async fn suspects_are_tried_once() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    daemon_a.wait_until_registered().await;
    daemon_b.wait_until_registered().await;
    let digest = RequestDigest::of(&[b"poison"]);
    let suspects = vec![(RequestTicket(1), digest)];
    daemon_a.control.execute_effect(Effect::RecordSuspicions {
        suspects,
        target: "127.0.0.1:10".parse().expect("an address"),
        incarnation: Some(Incarnation(1)),
    });
    let shows_state = |state| {
        move |event: &Event| match event {
            Event::SuspectsChanged(changes) if changes.contains(&(digest, state)) => Some(()),
            _ => None,
        }
    };
    daemon_b
        .wait_for_event("the suspect", shows_state(SuspectState::Suspect))
        .await;
    assert_eq!(
        daemon_a.acquire_trial(2, digest).await,
        TrialAnswer::Acquired
    );
    assert_eq!(daemon_b.acquire_trial(3, digest).await, TrialAnswer::Busy);
    let state = SuspectState::Blocked;
    daemon_a
        .control
        .execute_effect(Effect::EndTrial { digest, state });
    daemon_b
        .wait_for_event("the end of the trial", shows_state(state))
        .await;
    assert_eq!(
        daemon_b.acquire_trial(4, digest).await,
        TrialAnswer::Blocked
    );
    let unsuspected = RequestDigest::of(&[b"harmless"]);
    assert_eq!(
        daemon_b.acquire_trial(5, unsuspected).await,
        TrialAnswer::Cleared
    );
}

/// Guards against a caller that hears of its lost request before other daemons know of the
/// suspicion, or only once the store is back, and against a suspicion that is never recorded.
#[tokio::test(flavor = "multi_thread")]
async fn suspicions_reach_peers_while_the_store_is_down() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    wait_for("daemon B", || {
        daemon_a.member_ids().contains(&daemon_b.id).then_some(())
    })
    .await;
    store.set_down(true);
    wait_for("the outage", || {
        (daemon_a.control.counts().watch_breaks >= 2).then_some(())
    })
    .await;
    let digest = RequestDigest::of(&[b"poison"]);
    let suspects = vec![(RequestTicket(1), digest)];
    let started_at = Instant::now();
    daemon_a.control.execute_effect(Effect::RecordSuspicions {
        suspects,
        target: "127.0.0.1:10".parse().expect("an address"),
        incarnation: Some(Incarnation(1)),
    });
    daemon_a
        .wait_for_event("the report", |event| {
            matches!(event, Event::SuspicionRecorded { .. }).then_some(())
        })
        .await;
    assert!(started_at.elapsed() < Duration::from_millis(400));
    let notice =
        daemon_b.find_event(|event| matches!(event, Event::NoticeReceived(_)).then_some(()));
    assert!(notice.is_some(), "the caller was told before the peer");
    assert_eq!(
        daemon_b.acquire_trial(2, digest).await,
        TrialAnswer::Unavailable
    );
    store.set_down(false);
    daemon_b
        .wait_for_event("the record", |event| match event {
            Event::SuspectsChanged(changes) => changes
                .contains(&(digest, SuspectState::Suspect))
                .then_some(()),
            _ => None,
        })
        .await;
}

/// Guards against one daemon that holds all slots while others are alive, and against slots that
/// stay free after their holder stopped.
#[tokio::test(flavor = "multi_thread")]
async fn lender_slots_are_shared_fairly() {
    let store = MemoryStore::start();
    let daemons = [0; 3].map(|_| ControlDaemon::start(&store, &[]));
    let shares = |daemons: &[ControlDaemon]| -> Vec<usize> {
        daemons
            .iter()
            .map(|daemon| daemon.held_slots().len())
            .collect()
    };
    wait_for("fair shares", || {
        let shares = shares(&daemons);
        (shares.iter().sum::<usize>() == 16 && shares.iter().all(|share| *share <= 6)).then_some(())
    })
    .await;
    let [daemon_a, daemon_b, daemon_c] = daemons;
    daemon_c.control.stop();
    let remaining = [daemon_a, daemon_b];
    wait_for("equal shares of two daemons", || {
        (shares(&remaining) == [8, 8]).then_some(())
    })
    .await;
    let late_daemon = ControlDaemon::start(&store, &[]);
    let all_daemons = [remaining, [late_daemon, daemon_c]]
        .into_iter()
        .flatten()
        .take(3)
        .collect::<Vec<_>>();
    wait_for("fair shares again", || {
        let shares = shares(&all_daemons);
        (shares.iter().sum::<usize>() == 16 && shares.iter().all(|share| *share <= 6)).then_some(())
    })
    .await;
}
