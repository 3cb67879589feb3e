//! Digests: every second this daemon sends its membership data, rule revision and placements to a
//! few random peers.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::Member;
use mimosagap_peer::{PeerMember, Reply, Request, StateDigest};
use mimosagap_types::prelude::*;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::backoff::choose_random;
use super::context::ControlContext;
use super::rules;

const SEND_PERIOD: Duration = Duration::from_secs(1);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);
const FAN_OUT: usize = 3;

pub(super) fn start(context: &Arc<ControlContext>) {
    tokio::spawn(run(Arc::clone(context)));
}

async fn run(context: Arc<ControlContext>) {
    let mut ticks = tokio::time::interval(SEND_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = context.stopping() => return,
        }
        context.report_member_changes();
        let context = Arc::clone(&context);
        tokio::spawn(async move { send_round(&context).await });
    }
}

/// Sends one digest to each chosen peer, and pulls the rules from peers with a newer revision. A
/// daemon without rules sends to all peers, so that it finds the newest revision among them.
async fn send_round(context: &Arc<ControlContext>) {
    let mut peers = context.peer_addresses();
    if context.rules().is_loaded() {
        choose_random(&mut peers, FAN_OUT);
    }
    let mut exchanges = JoinSet::new();
    for peer in peers {
        let context = Arc::clone(context);
        exchanges.spawn(async move { send_digest(&context, peer).await });
    }
    let replies = exchanges.join_all().await;
    let own_revision = context.rules().revision();
    let mut newer: Vec<_> = replies
        .into_iter()
        .flatten()
        .filter(|(revision, _)| *revision > own_revision)
        .collect();
    newer.sort_by_key(|(revision, _)| Reverse(*revision));
    if !newer.is_empty() {
        rules::start_pull(context, newer);
    }
}

/// Sends one digest. Returns the peer's rule revision, or `None` if the exchange failed.
async fn send_digest(
    context: &ControlContext,
    peer: SocketAddr,
) -> Option<(RulesRevision, SocketAddr)> {
    context.counters.digests_sent.add(1);
    let request = Request::Digest(own_digest(context));
    let outcome = context
        .exchange(peer, request, EXCHANGE_TIMEOUT)
        .await
        .ok()?;
    match outcome.reply {
        Reply::Digest { revision } => Some((revision, peer)),
        _ => None,
    }
}

fn own_digest(context: &ControlContext) -> StateDigest {
    let store_age = context.store.response_age();
    StateDigest {
        member: peer_member(context.member()),
        revision: context.rules().revision(),
        placements: context.placements(),
        store_contact_age_ms: store_age
            .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
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
