//! Tests of the control tasks with peers: rules, credit, notices and digests.

mod control_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use control_support::store::MemoryStore;
use control_support::{
    ControlDaemon, FLEET_KEY, apply_rules, apply_rules_with_prefix, unused_address, wait_for,
};
use mimosagap_core::{Effect, Event, Notice};
use mimosagap_peer::{PeerCounters, Reply, Request, RulesAnswer, ServerOptions, serve};
use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Guards against a daemon that, started during an outage of the store, has no rules or older ones
/// than a peer has, and against peers that do not see it.
#[tokio::test(flavor = "multi_thread")]
async fn start_during_outage_takes_the_newest_rules_of_the_peers() {
    let store = MemoryStore::start();
    let initial_daemon = ControlDaemon::start(&store, &[]);
    apply_rules(&store).await;
    initial_daemon.wait_for_revision(1).await;
    // This daemon has no store and its only peer stops, so it stays at revision 1.
    let outdated_daemon = ControlDaemon::start_at(
        unused_address(),
        unused_address(),
        &[initial_daemon.peer_address],
    );
    outdated_daemon.wait_for_revision(1).await;
    initial_daemon.control.stop();
    let current_daemon = ControlDaemon::start(&store, &[]);
    apply_rules(&store).await;
    current_daemon.wait_for_revision(2).await;
    store.set_down(true);
    let peers = [outdated_daemon.peer_address, current_daemon.peer_address];
    let late_daemon = ControlDaemon::start(&store, &peers);
    late_daemon.wait_for_revision(2).await;
    wait_for("the late member", || {
        current_daemon
            .member_ids()
            .contains(&late_daemon.id)
            .then_some(())
    })
    .await;
    wait_for("the current member", || {
        late_daemon
            .member_ids()
            .contains(&current_daemon.id)
            .then_some(())
    })
    .await;
    assert_eq!(outdated_daemon.rule_revisions().first(), Some(&1));
}

/// Guards against rules that spread only through the watch on the store: a daemon without the store
/// takes them from peers, as deltas if possible.
#[tokio::test(flavor = "multi_thread")]
async fn rules_spread_to_a_daemon_without_the_store() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    apply_rules(&store).await;
    daemon_a.wait_for_revision(1).await;
    let storeless_daemon =
        ControlDaemon::start_at(unused_address(), unused_address(), &[daemon_a.peer_address]);
    storeless_daemon.wait_for_revision(1).await;
    apply_rules(&store).await;
    let started_at = Instant::now();
    storeless_daemon.wait_for_revision(2).await;
    assert!(started_at.elapsed() < Duration::from_secs(3));
    assert_eq!(storeless_daemon.control.counts().rules_from_delta, 1);
}

/// Guards against rules of the largest accepted size that reach neither the watch nor a peer: their
/// messages exceed the flow-control windows of a connection.
#[tokio::test(flavor = "multi_thread")]
async fn largest_rules_reach_watch_and_peers() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    daemon_a.wait_for_revision(0).await;
    let line = format!("# {}\n", "x".repeat(97));
    apply_rules_with_prefix(&store, line.repeat(9_400)).await;
    daemon_a.wait_for_revision(1).await;
    let storeless_daemon =
        ControlDaemon::start_at(unused_address(), unused_address(), &[daemon_a.peer_address]);
    storeless_daemon.wait_for_revision(1).await;
}

/// Starts a peer that announces a newer revision than it supplies.
async fn start_stale_peer(supplied_revision: u64) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let options = ServerOptions {
        daemon: DaemonId::new("stale"),
        keys: FleetKeys::new(vec![FLEET_KEY.to_vec()]),
        clock: Arc::new(SystemClock),
        counters: Arc::new(PeerCounters::default()),
    };
    let mut incoming = serve(listener, options);
    tokio::spawn(async move {
        while let Some(message) = incoming.recv().await {
            let reply = match &message.request {
                Request::PullRules { .. } => Reply::Rules(RulesAnswer::FullText {
                    revision: RulesRevision(supplied_revision),
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

/// Guards against rules that revert because a peer supplies an older revision.
#[tokio::test(flavor = "multi_thread")]
async fn older_revision_of_a_peer_is_ignored() {
    let store = MemoryStore::start();
    let daemon_a = ControlDaemon::start(&store, &[]);
    for _ in 0..2 {
        let revision = apply_rules(&store).await;
        daemon_a.wait_for_revision(revision).await;
    }
    let peers = [daemon_a.peer_address, start_stale_peer(1).await];
    let daemon_b = ControlDaemon::start_at(unused_address(), unused_address(), &peers);
    daemon_b.wait_for_revision(2).await;
    sleep(Duration::from_millis(2_500)).await;
    let revisions = daemon_b.rule_revisions();
    assert!(
        revisions.is_sorted() && revisions.last() == Some(&2),
        "{revisions:?}"
    );
}

/// Guards against credit that a daemon cannot get from the slot holder on another host, and against
/// a request to an unknown holder that is never answered.
#[tokio::test(flavor = "multi_thread")]
async fn credit_is_requested_and_granted() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    wait_for("daemon B", || {
        daemon_a.member_ids().contains(&daemon_b.id).then_some(())
    })
    .await;
    let request_credit = |holder: DaemonId, team: &str| {
        daemon_a.control.execute_effect(Effect::RequestCredit {
            holder,
            team: TeamName::new(team),
            wanted: 3,
        });
    };
    let requested_after = Instant::now();
    request_credit(daemon_b.id.clone(), "floors");
    let granted = daemon_a
        .wait_for_event("the credit", |event| match event {
            Event::CreditGranted {
                granted,
                requested_at,
                ..
            } => Some((*granted, *requested_at)),
            _ => None,
        })
        .await;
    assert_eq!(granted.0, 3);
    assert!(granted.1 >= requested_after && granted.1 < Instant::now());
    request_credit(DaemonId::new("gone"), "proofs");
    daemon_a
        .wait_for_event("the failure", |event| {
            matches!(event, Event::CreditFailed { team } if team.as_str() == "proofs").then_some(())
        })
        .await;
}

/// Guards against a leaving daemon that others still name to callers.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_is_announced_at_once() {
    let store = MemoryStore::start();
    let daemons = [0; 4].map(|_| ControlDaemon::start(&store, &[]));
    for daemon in &daemons {
        wait_for("all members", || {
            (daemon.member_ids().len() == 4).then_some(())
        })
        .await;
    }
    store.set_down(true);
    let started_at = Instant::now();
    daemons[0].control.set_leaving();
    for daemon in &daemons {
        wait_for("the leaving mark", || {
            let members = daemon.control.members();
            let member = members
                .into_iter()
                .find(|member| member.id == daemons[0].id)?;
            member.leaving.then_some(())
        })
        .await;
    }
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

/// Guards against a notice that reaches only a part of a large fleet, and against one that takes
/// effect twice because it arrives over several paths.
#[tokio::test(flavor = "multi_thread")]
async fn notices_reach_a_large_fleet_once() {
    let store = MemoryStore::start();
    let daemons: Vec<ControlDaemon> = (0..20).map(|_| ControlDaemon::start(&store, &[])).collect();
    for daemon in &daemons {
        wait_for("all members", || {
            (daemon.member_ids().len() == 20).then_some(())
        })
        .await;
    }
    daemons[0]
        .control
        .execute_effect(Effect::Broadcast(Notice::TargetLeaving {
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: None,
        }));
    let received_count = |daemon: &ControlDaemon| {
        daemon
            .collect_events(|event| matches!(event, Event::NoticeReceived(_)).then_some(()))
            .len()
    };
    // Two waves miss a daemon with a probability of 0.03%, so one missed daemon is tolerated.
    wait_for("the notice to reach the fleet", || {
        let count = daemons[1..]
            .iter()
            .filter(|daemon| received_count(daemon) > 0)
            .count();
        (count >= 18).then_some(())
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    assert!(daemons.iter().all(|daemon| received_count(daemon) <= 1));
    let repeated: u64 = daemons
        .iter()
        .map(|daemon| daemon.control.counts().notices_repeated)
        .sum();
    assert!(
        repeated > 0,
        "no notice arrived twice, so duplicates are not tested"
    );
}

/// Guards against a daemon that counts as isolated while peers reach it, and against placements
/// that do not reach the peers.
#[tokio::test(flavor = "multi_thread")]
async fn digests_carry_placements() {
    let store = MemoryStore::start();
    let (daemon_a, daemon_b) = (
        ControlDaemon::start(&store, &[]),
        ControlDaemon::start(&store, &[]),
    );
    let placement = ("127.0.0.1:9".parse().unwrap(), 512);
    daemon_a.control.set_placements(vec![placement]);
    daemon_b
        .wait_for_event("the placement", |event| match event {
            Event::PeerPlacements { daemon, placements } if *daemon == daemon_a.id => {
                placements.contains(&placement).then_some(())
            }
            _ => None,
        })
        .await;
    daemon_b
        .wait_for_event("the contact", |event| {
            matches!(event, Event::PeerReached { daemon } if *daemon == daemon_a.id).then_some(())
        })
        .await;
}
