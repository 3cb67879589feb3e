//! Digests: each second, a few random peers hear how this daemon stands.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::Member;
use mimosagap_peer::{PeerMember, Reply, Request, StateDigest};
use mimosagap_types::prelude::*;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::backoff::choose;
use super::rules;
use super::shared::Control;

const PERIOD: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_millis(900);
const FAN_OUT: usize = 3;

pub(super) fn start(control: &Arc<Control>) {
    tokio::spawn(run(Arc::clone(control)));
}

async fn run(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = control.stopping() => return,
        }
        control.members_changed();
        let control = Arc::clone(&control);
        tokio::spawn(async move { send_round(&control).await });
    }
}

/// A daemon without rules asks all peers, so that it learns the newest revision among them.
async fn send_round(control: &Arc<Control>) {
    let mut peers = control.peer_addresses();
    if control.rules().is_known() {
        choose(&mut peers, FAN_OUT);
    }
    let mut exchanges = JoinSet::new();
    for peer in peers {
        let control = Arc::clone(control);
        exchanges.spawn(async move { send(&control, peer).await });
    }
    let replies = exchanges.join_all().await;
    let own = control.rules().revision();
    let mut newer: Vec<_> = replies
        .into_iter()
        .flatten()
        .filter(|(revision, _)| *revision > own)
        .collect();
    newer.sort_by_key(|(revision, _)| Reverse(*revision));
    if !newer.is_empty() {
        rules::pull(control, newer);
    }
}

/// The peer's revision of the rules.
async fn send(control: &Control, peer: SocketAddr) -> Option<(RulesRevision, SocketAddr)> {
    control.counters.digests_sent.add(1);
    let request = Request::Digest(digest(control));
    let outcome = control.ask(peer, request, TIMEOUT).await.ok()?;
    match outcome.reply {
        Reply::Digest { revision } => Some((revision, peer)),
        _ => None,
    }
}

fn digest(control: &Control) -> StateDigest {
    let age = control.store.age();
    StateDigest {
        member: peer_member(control.member()),
        revision: control.rules().revision(),
        placements: control.placements(),
        store_contact_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
    }
}

fn peer_member(member: Member) -> PeerMember {
    PeerMember {
        caller_address: member.caller_address,
        peer_address: member.peer_address,
        admin_address: member.admin_address,
        zone: member.zone,
        region: member.region,
        leaving: member.leaving,
    }
}
