//! What the control tasks do with peers.

mod control_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use control_support::store::MemoryStore;
use control_support::{Daemon, KEY, apply_rules, apply_rules_after, free_address, wait};
use mimosagap_core::{Effect, Event, Notice};
use mimosagap_peer::{PeerCounters, Reply, Request, RulesAnswer, ServerOptions, serve};
use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Guards against a daemon that starts in an outage without rules, or with older ones than a peer
/// has, and against daemons that do not learn of it.
#[tokio::test(flavor = "multi_thread")]
async fn start_in_an_outage_takes_the_newest_rules_of_the_peers() {
    let store = MemoryStore::start();
    let old = Daemon::start(&store, &[]);
    apply_rules(&store).await;
    old.wait_revision(1).await;
    // This daemon has no store, and its only peer ends, so it stays at revision 1.
    let apart = Daemon::start_at(free_address(), free_address(), &[old.peer_address]);
    apart.wait_revision(1).await;
    old.control.stop();
    let current = Daemon::start(&store, &[]);
    apply_rules(&store).await;
    current.wait_revision(2).await;
    store.set_down(true);
    let peers = [apart.peer_address, current.peer_address];
    let late = Daemon::start(&store, &peers);
    late.wait_revision(2).await;
    wait("the late member", || {
        current.member_ids().contains(&late.id).then_some(())
    })
    .await;
    wait("the current member", || {
        late.member_ids().contains(&current.id).then_some(())
    })
    .await;
    assert_eq!(apart.revisions().first(), Some(&1));
}

/// Guards against rules that only the store's watch brings: a daemon cut off from the store takes
/// them from peers, by deltas where it can.
#[tokio::test(flavor = "multi_thread")]
async fn rules_spread_to_a_daemon_without_the_store() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    apply_rules(&store).await;
    a.wait_revision(1).await;
    let cut_off = Daemon::start_at(free_address(), free_address(), &[a.peer_address]);
    cut_off.wait_revision(1).await;
    apply_rules(&store).await;
    let start = Instant::now();
    cut_off.wait_revision(2).await;
    assert!(start.elapsed() < Duration::from_secs(3));
    assert_eq!(cut_off.control.counters().rules_from_delta, 1);
}

/// Guards against a text of the largest accepted size that reaches neither the watch nor a peer:
/// its messages are larger than the windows of a connection.
#[tokio::test(flavor = "multi_thread")]
async fn largest_rules_reach_watch_and_peers() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    a.wait_revision(0).await;
    let line = format!("# {}\n", "x".repeat(97));
    apply_rules_after(&store, line.repeat(9_400)).await;
    a.wait_revision(1).await;
    let cut_off = Daemon::start_at(free_address(), free_address(), &[a.peer_address]);
    cut_off.wait_revision(1).await;
}

/// A peer that claims a newer revision than it supplies.
async fn stale_peer(offered: u64) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let options = ServerOptions {
        daemon: DaemonId::new("stale"),
        keys: FleetKeys::new(vec![KEY.to_vec()]),
        clock: Arc::new(SystemClock),
        counters: Arc::new(PeerCounters::default()),
    };
    let mut incoming = serve(listener, options);
    tokio::spawn(async move {
        while let Some(message) = incoming.recv().await {
            let reply = match &message.request {
                Request::PullRules { .. } => Reply::Rules(RulesAnswer::FullText {
                    revision: RulesRevision(offered),
                    text: String::new(),
                }),
                _ => Reply::Digest {
                    revision: RulesRevision(99),
                },
            };
            message.answer(reply);
        }
    });
    address
}

/// Guards against rules that revert because a peer offers an older revision.
#[tokio::test(flavor = "multi_thread")]
async fn older_revision_of_a_peer_is_ignored() {
    let store = MemoryStore::start();
    let a = Daemon::start(&store, &[]);
    for _ in 0..2 {
        let revision = apply_rules(&store).await;
        a.wait_revision(revision).await;
    }
    let peers = [a.peer_address, stale_peer(1).await];
    let b = Daemon::start_at(free_address(), free_address(), &peers);
    b.wait_revision(2).await;
    sleep(Duration::from_millis(2_500)).await;
    let revisions = b.revisions();
    assert!(
        revisions.is_sorted() && revisions.last() == Some(&2),
        "{revisions:?}"
    );
}

/// Guards against credit that a borrower cannot get from a lender on another host, and against a
/// question that nobody answers.
#[tokio::test(flavor = "multi_thread")]
async fn credit_is_asked_and_granted() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    wait("b", || a.member_ids().contains(&b.id).then_some(())).await;
    let ask = |holder: DaemonId, team: &str| {
        a.control.carry_out(Effect::RequestCredit {
            holder,
            team: TeamName::new(team),
            wanted: 3,
        });
    };
    let before = Instant::now();
    ask(b.id.clone(), "floors");
    let granted = a
        .wait("the credit", |event| match event {
            Event::CreditGranted {
                granted,
                requested_at,
                ..
            } => Some((*granted, *requested_at)),
            _ => None,
        })
        .await;
    assert_eq!(granted.0, 3);
    assert!(granted.1 >= before && granted.1 < Instant::now());
    ask(DaemonId::new("gone"), "proofs");
    a.wait("the failure", |event| {
        matches!(event, Event::CreditFailed { team } if team.as_str() == "proofs").then_some(())
    })
    .await;
}

/// Guards against a leaving daemon that others go on naming to callers.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_is_told_at_once() {
    let store = MemoryStore::start();
    let daemons = [0; 4].map(|_| Daemon::start(&store, &[]));
    for daemon in &daemons {
        wait("all members", || {
            (daemon.member_ids().len() == 4).then_some(())
        })
        .await;
    }
    store.set_down(true);
    let start = Instant::now();
    daemons[0].control.set_leaving();
    for daemon in &daemons {
        wait("the mark", || {
            let members = daemon.control.members();
            let member = members
                .into_iter()
                .find(|member| member.id == daemons[0].id)?;
            member.leaving.then_some(())
        })
        .await;
    }
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// Guards against a notice that reaches only a part of a large fleet, and against one that takes
/// effect twice because it comes over several ways.
#[tokio::test(flavor = "multi_thread")]
async fn notices_spread_through_a_large_fleet_once() {
    let store = MemoryStore::start();
    let daemons: Vec<Daemon> = (0..20).map(|_| Daemon::start(&store, &[])).collect();
    for daemon in &daemons {
        wait("all members", || {
            (daemon.member_ids().len() == 20).then_some(())
        })
        .await;
    }
    daemons[0]
        .control
        .carry_out(Effect::Broadcast(Notice::TargetLeaving {
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: None,
        }));
    let heard = |daemon: &Daemon| {
        daemon
            .all(|event| matches!(event, Event::NoticeReceived(_)).then_some(()))
            .len()
    };
    // Two waves miss a daemon with a probability of 0.03%; two missed daemons are a fault.
    wait("the spread", || {
        let count = daemons[1..]
            .iter()
            .filter(|daemon| heard(daemon) > 0)
            .count();
        (count >= 18).then_some(())
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    assert!(daemons.iter().all(|daemon| heard(daemon) <= 1));
    let repeated: u64 = daemons
        .iter()
        .map(|daemon| daemon.control.counters().notices_repeated)
        .sum();
    assert!(
        repeated > 0,
        "the spread sent no duplicates, so it tests nothing"
    );
}

/// Guards against a daemon that counts itself isolated, or its placements lost, while peers reach
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn digests_carry_placements() {
    let store = MemoryStore::start();
    let (a, b) = (Daemon::start(&store, &[]), Daemon::start(&store, &[]));
    let placement = ("127.0.0.1:9".parse().unwrap(), 512);
    a.control.set_placements(vec![placement]);
    b.wait("the placement", |event| match event {
        Event::PeerPlacements { daemon, placements } if *daemon == a.id => {
            placements.contains(&placement).then_some(())
        }
        _ => None,
    })
    .await;
    b.wait("the contact", |event| {
        matches!(event, Event::PeerReached { daemon } if *daemon == a.id).then_some(())
    })
    .await;
}
