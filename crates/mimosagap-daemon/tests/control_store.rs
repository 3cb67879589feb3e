//! What the control tasks do with the store.

mod control_support;

use std::time::{Duration, Instant};

use control_support::store::MemoryStore;
use control_support::{Daemon, apply_rules, order, wait};
use mimosagap_core::{ClaimAnswer, Effect, Event, SuspectState, TrialAnswer};
use mimosagap_daemon::control::RecordedAnswer;
use mimosagap_types::prelude::*;
use tokio::time::sleep;

/// Guards against daemons that do not see each other, and against a record that stays for the
/// whole TTL after a regular end.
#[tokio::test(flavor = "multi_thread")]
async fn members_come_and_go() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    let both = [&a, &b].map(|daemon| daemon.id.clone());
    for daemon in [&a, &b] {
        wait("both members", || {
            (daemon.member_ids() == both).then_some(())
        })
        .await;
    }
    b.control.stop();
    b.control.stopped().await;
    let start = Instant::now();
    wait("the end of b", || {
        (a.member_ids() == both[..1]).then_some(())
    })
    .await;
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against a daemon that goes on as a member and lender although its lease lapsed while it
/// was paused.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_lease_is_noticed_and_replaced() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    wait("all slots", || (a.slots().len() == 16).then_some(())).await;
    store.expire_all_leases();
    wait("no slots", || a.slots().is_empty().then_some(())).await;
    wait("the new lease", || {
        (a.control.counters().lease_losses == 1).then_some(())
    })
    .await;
    wait("all slots again", || (a.slots().len() == 16).then_some(())).await;
    let other = Daemon::start(&store, &[]);
    wait("the record", || {
        other.member_ids().contains(&a.id).then_some(())
    })
    .await;
}

/// Guards against slots trusted longer than the lease less its margin, counted from before the
/// renewal.
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_trusted_for_less_than_the_ttl() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    wait("slots", || (!a.slots().is_empty()).then_some(())).await;
    let now = Instant::now();
    let ends = a.all(|event| match event {
        Event::LenderSlotsHeld { until, .. } => Some(*until),
        _ => None,
    });
    assert!(
        ends.iter()
            .all(|until| *until <= now + Duration::from_secs(8))
    );
}

/// Guards against rules that arrive only after a restart, and against every change being
/// compiled from the whole text.
#[tokio::test(flavor = "multi_thread")]
async fn rules_arrive_by_watch_as_deltas() {
    let store = MemoryStore::start();
    let daemons = [Daemon::start(&store, &[]), Daemon::start(&store, &[])];
    for daemon in &daemons {
        daemon.wait_revision(0).await;
    }
    for _ in 0..3 {
        let revision = apply_rules(&store).await;
        for daemon in &daemons {
            daemon.wait_revision(revision).await;
        }
    }
    for daemon in &daemons {
        assert_eq!(daemon.revisions(), [0, 1, 2, 3]);
        assert_eq!(daemon.control.counters().rules_from_delta, 3);
    }
}

/// Guards against changes missed while a watch was silent or broken.
#[tokio::test(flavor = "multi_thread")]
async fn broken_watch_is_followed_by_a_read() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    wait("the watch", || {
        (store.call_count("/v3/watch") == 1).then_some(())
    })
    .await;
    sleep(Duration::from_millis(50)).await;
    store.close_watches();
    apply_rules(&store).await;
    a.wait_revision(1).await;
    store.set_watches_silent(true);
    apply_rules(&store).await;
    let start = Instant::now();
    a.wait_revision(2).await;
    assert!(start.elapsed() < Duration::from_secs(5));
    assert!(a.control.counters().watch_breaks >= 2);
}

/// Guards against an order that is refused or sent without its claim because an answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn claim_survives_a_lost_answer() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    a.wait_registered().await;
    assert_eq!(a.claim(1, "k1", "b").await, ClaimAnswer::Acquired);
    store.drop_responses(1);
    assert_eq!(a.claim(2, "k2", "b").await, ClaimAnswer::Acquired);
}

/// Claims again until the daemon has noticed with a call of its own that the store is back.
async fn claim_when_available(daemon: &Daemon, key: &str, body: &str) -> ClaimAnswer {
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

/// Guards against a claim of unknown fate reported as not written, and against its order staying
/// `unknown` for 24 h although this daemon never sent it.
#[tokio::test(flavor = "multi_thread")]
async fn uncertain_claim_is_withdrawn() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    a.wait_registered().await;
    assert_eq!(a.claim(1, "first", "b").await, ClaimAnswer::Acquired);
    store.drop_responses(u32::MAX);
    assert_eq!(a.claim(2, "k", "b").await, ClaimAnswer::Uncertain);
    store.drop_responses(0);
    wait("the mark", || {
        (a.control.counters().results_recorded == 1).then_some(())
    })
    .await;
    let answer = claim_when_available(&b, "k", "b").await;
    assert_eq!(answer, ClaimAnswer::Acquired);
}

/// Guards against an order that two daemons both win.
#[tokio::test(flavor = "multi_thread")]
async fn claim_raced_by_two_daemons_has_one_winner() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    a.wait_registered().await;
    b.wait_registered().await;
    for ticket in 0..20 {
        let key = format!("k{ticket}");
        a.ask_claim(ticket, &key, "b");
        b.ask_claim(ticket, &key, "b");
    }
    for ticket in 0..20 {
        let answers = [a.claim_answer(ticket).await, b.claim_answer(ticket).await];
        let winners = answers
            .iter()
            .filter(|answer| **answer == ClaimAnswer::Acquired);
        assert_eq!(winners.count(), 1, "{answers:?}");
        assert!(answers.contains(&ClaimAnswer::InProgress), "{answers:?}");
    }
}

/// Guards against a key that names two orders, a re-send that runs again, and a re-send that
/// never runs although its winner sent nothing.
#[tokio::test(flavor = "multi_thread")]
async fn claims_answer_resends() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    a.wait_registered().await;
    b.wait_registered().await;
    assert_eq!(a.claim(1, "ran", "b").await, ClaimAnswer::Acquired);
    assert_eq!(a.claim(2, "unsent", "b").await, ClaimAnswer::Acquired);
    assert_eq!(b.claim(3, "ran", "other").await, ClaimAnswer::BodyMismatch);
    assert_eq!(b.claim(4, "ran", "b").await, ClaimAnswer::InProgress);
    let answer = RecordedAnswer {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: Some(b"booked".to_vec()),
    };
    a.control.record_result(order("ran"), answer.clone());
    a.control.carry_out(Effect::RecordNotRun {
        ticket: RequestTicket(2),
        key: order("unsent"),
    });
    wait("the records", || {
        (a.control.counters().results_recorded == 2).then_some(())
    })
    .await;
    assert_eq!(b.claim(5, "ran", "b").await, ClaimAnswer::AlreadyRan);
    assert_eq!(b.control.take_recorded(RequestTicket(5)), Some(answer));
    assert_eq!(b.claim(6, "unsent", "b").await, ClaimAnswer::Acquired);
}

/// Guards against a re-send that is told `unknown` because it came between the answer and its
/// record.
#[tokio::test(flavor = "multi_thread")]
async fn resend_waits_for_a_result_that_is_being_recorded() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    a.wait_registered().await;
    b.wait_registered().await;
    assert_eq!(a.claim(1, "k", "b").await, ClaimAnswer::Acquired);
    b.ask_claim(2, "k", "b");
    sleep(Duration::from_millis(30)).await;
    let answer = RecordedAnswer {
        status: 500,
        content_type: None,
        body: None,
    };
    a.control.record_result(order("k"), answer);
    assert_eq!(b.claim_answer(2).await, ClaimAnswer::AlreadyRan);
}

/// Guards against a result that is lost because the store was down when the target answered.
#[tokio::test(flavor = "multi_thread")]
async fn results_wait_for_the_store() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    a.wait_registered().await;
    assert_eq!(a.claim(1, "k", "b").await, ClaimAnswer::Acquired);
    store.set_down(true);
    let answer = RecordedAnswer {
        status: 200,
        content_type: None,
        body: None,
    };
    a.control.record_result(order("k"), answer);
    sleep(Duration::from_millis(500)).await;
    store.set_down(false);
    wait("the record", || {
        (a.control.counters().results_recorded == 1).then_some(())
    })
    .await;
    let answer = claim_when_available(&b, "k", "b").await;
    assert_eq!(answer, ClaimAnswer::AlreadyRan);
}

/// Guards against one store call per claim, which the store's rate does not allow.
#[tokio::test(flavor = "multi_thread")]
async fn claims_go_out_together() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    a.wait_registered().await;
    assert_eq!(a.claim(1_000, "first", "b").await, ClaimAnswer::Acquired);
    let before = a.control.counters().claim_batches;
    for ticket in 0..200 {
        a.ask_claim(ticket, &format!("k{ticket}"), "b");
    }
    for ticket in 0..200 {
        assert_eq!(a.claim_answer(ticket).await, ClaimAnswer::Acquired);
    }
    let batches = a.control.counters().claim_batches - before;
    assert!(batches <= 20, "{batches} transactions for 200 claims");
}

/// Guards against callers that wait for a store which is down, and against calls that pile up.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_refused_at_once_while_the_store_is_down() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    a.wait_registered().await;
    store.set_down(true);
    wait("the outage", || {
        (a.control.counters().watch_breaks >= 2).then_some(())
    })
    .await;
    let calls = |daemon: &Daemon| {
        daemon
            .control
            .counters()
            .store
            .iter()
            .map(|(_, count)| count.calls)
            .sum::<u64>()
    };
    let (before, start) = (calls(&a), Instant::now());
    for ticket in 0..500 {
        a.ask_claim(ticket, &format!("k{ticket}"), "b");
    }
    for ticket in 0..500 {
        assert_eq!(a.claim_answer(ticket).await, ClaimAnswer::Unavailable);
    }
    assert!(start.elapsed() < Duration::from_millis(500));
    sleep(Duration::from_secs(2)).await;
    let made = calls(&a) - before;
    assert!(made <= 20, "{made} calls in 2 s of an outage");
}

/// Guards against a daemon that runs a suspect another daemon runs already, or one that was
/// cleared, and against a blocked request that runs again.
#[tokio::test(flavor = "multi_thread")]
async fn suspects_are_tried_once() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    a.wait_registered().await;
    b.wait_registered().await;
    let digest = RequestDigest::of(&[b"poison"]);
    let suspects = vec![(RequestTicket(1), digest)];
    a.control.carry_out(Effect::RecordSuspicions {
        suspects,
        target: "127.0.0.1:10".parse().expect("an address"),
        incarnation: Some(Incarnation(1)),
    });
    let shows = |state| {
        move |event: &Event| match event {
            Event::SuspectsChanged(changes) if changes.contains(&(digest, state)) => Some(()),
            _ => None,
        }
    };
    b.wait("the suspect", shows(SuspectState::Suspect)).await;
    assert_eq!(a.take_trial(2, digest).await, TrialAnswer::Acquired);
    assert_eq!(b.take_trial(3, digest).await, TrialAnswer::Busy);
    let state = SuspectState::Blocked;
    a.control.carry_out(Effect::EndTrial { digest, state });
    b.wait("the end of the trial", shows(state)).await;
    assert_eq!(b.take_trial(4, digest).await, TrialAnswer::Blocked);
    let unknown = RequestDigest::of(&[b"harmless"]);
    assert_eq!(b.take_trial(5, unknown).await, TrialAnswer::Cleared);
}

/// Guards against a caller that is told of a lost request before other daemons know of the
/// suspicion, or only after the store's return, and against a suspicion that is never recorded.
#[tokio::test(flavor = "multi_thread")]
async fn suspicions_reach_peers_while_the_store_is_down() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    wait("b", || a.member_ids().contains(&b.id).then_some(())).await;
    store.set_down(true);
    wait("the outage", || {
        (a.control.counters().watch_breaks >= 2).then_some(())
    })
    .await;
    let digest = RequestDigest::of(&[b"poison"]);
    let suspects = vec![(RequestTicket(1), digest)];
    let start = Instant::now();
    a.control.carry_out(Effect::RecordSuspicions {
        suspects,
        target: "127.0.0.1:10".parse().expect("an address"),
        incarnation: Some(Incarnation(1)),
    });
    a.wait("the report", |event| {
        matches!(event, Event::SuspicionRecorded { .. }).then_some(())
    })
    .await;
    assert!(start.elapsed() < Duration::from_millis(400));
    let heard = b.find(|event| matches!(event, Event::NoticeReceived(_)).then_some(()));
    assert!(heard.is_some(), "the caller was told before the peer");
    assert_eq!(b.take_trial(2, digest).await, TrialAnswer::Unavailable);
    store.set_down(false);
    b.wait("the record", |event| match event {
        Event::SuspectsChanged(changes) => changes
            .contains(&(digest, SuspectState::Suspect))
            .then_some(()),
        _ => None,
    })
    .await;
}

/// Guards against one daemon that lends for all teams while others live, and against slots that
/// stay free after their holder ended.
#[tokio::test(flavor = "multi_thread")]
async fn lender_slots_are_shared_fairly() {
    let store = MemoryStore::start();
    let daemons = [0; 3].map(|_| Daemon::start(&store, &[]));
    let shares = |daemons: &[Daemon]| -> Vec<usize> {
        daemons.iter().map(|daemon| daemon.slots().len()).collect()
    };
    wait("fair shares", || {
        let shares = shares(&daemons);
        (shares.iter().sum::<usize>() == 16 && shares.iter().all(|share| *share <= 6)).then_some(())
    })
    .await;
    let [a, b, c] = daemons;
    c.control.stop();
    let rest = [a, b];
    wait("shares of two", || (shares(&rest) == [8, 8]).then_some(())).await;
    let late = Daemon::start(&store, &[]);
    let all = [rest, [late, c]]
        .into_iter()
        .flatten()
        .take(3)
        .collect::<Vec<_>>();
    wait("fair shares again", || {
        let shares = shares(&all);
        (shares.iter().sum::<usize>() == 16 && shares.iter().all(|share| *share <= 6)).then_some(())
    })
    .await;
}
