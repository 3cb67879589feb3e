//! Notices to peers: sent directly to all of them in a small fleet, and forwarded from peer to peer
//! (gossip) in a large one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosagap_core::{Event, Notice};
use mimosagap_peer::{NoticeMessage, Request};
use tokio::task::JoinSet;

use super::backoff::{RetryBackoff, choose_random};
use super::bounded_map::BoundedMap;
use super::context::{ControlContext, lock};

/// From this fleet size on, notices are gossiped instead of being sent to all peers.
const GOSSIP_MIN_FLEET_SIZE: usize = 16;
const FAN_OUT: usize = 4;
/// Delay of the second wave. One wave with a fan-out of 4 misses 2% of a large fleet, two waves miss
/// 0.03%.
const SECOND_WAVE_DELAY: Duration = Duration::from_millis(300);
/// Enough to reach 4^8 daemons.
const MAX_HOPS: u8 = 8;
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_ATTEMPTS: u32 = 3;
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_SEEN_NOTICES: usize = 4_096;

/// Ids of the notices that this daemon sent or received recently, to detect duplicates.
pub(super) struct SeenNotices {
    ids: Mutex<BoundedMap<u128, ()>>,
}

impl Default for SeenNotices {
    fn default() -> Self {
        Self {
            ids: Mutex::new(BoundedMap::new(MAX_SEEN_NOTICES)),
        }
    }
}

impl SeenNotices {
    /// Records the id, and returns whether it is new.
    fn insert_new(&self, id: u128) -> bool {
        let mut ids = lock(&self.ids);
        ids.get(&id).is_none() && ids.insert(id, ()).is_none()
    }
}

/// Sends a notice to the peers in the background.
pub(super) fn broadcast(context: &Arc<ControlContext>, notice: Notice) {
    start_broadcast(context, notice).detach_all();
}

/// Sends a notice to the peers. Each delivery task ends when its peer acknowledges; detached tasks
/// continue in the background.
pub(super) fn start_broadcast(context: &Arc<ControlContext>, notice: Notice) -> DeliverySet {
    let message = NoticeMessage {
        id: random_id(),
        hops: 0,
        notice,
    };
    context.notices.insert_new(message.id);
    forward(context, message)
}

/// Sends to all peers of a small fleet, or to some random ones of a large fleet in two waves.
fn forward(context: &Arc<ControlContext>, message: NoticeMessage) -> DeliverySet {
    let mut peers = context.peer_addresses();
    if context.fleet().member_count() < GOSSIP_MIN_FLEET_SIZE {
        return start_deliveries(context, &message, peers);
    }
    choose_random(&mut peers, 2 * FAN_OUT);
    let second_wave = peers.split_off(FAN_OUT.min(peers.len()));
    let first_wave = start_deliveries(context, &message, peers);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        if context.sleep(SECOND_WAVE_DELAY).await {
            start_deliveries(&context, &message, second_wave).detach_all();
        }
    });
    first_wave
}

fn random_id() -> u128 {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).expect("the operating system provides random bytes");
    u128::from_be_bytes(bytes)
}

/// Deliveries of one notice that are in progress.
pub(super) struct DeliverySet(JoinSet<()>);

impl DeliverySet {
    pub(super) async fn join_all(self) {
        self.0.join_all().await;
    }

    fn detach_all(mut self) {
        self.0.detach_all();
    }
}

fn start_deliveries(
    context: &Arc<ControlContext>,
    message: &NoticeMessage,
    peers: Vec<SocketAddr>,
) -> DeliverySet {
    let mut deliveries = JoinSet::new();
    for peer in peers {
        let Ok(permit) = Arc::clone(&context.notice_permits).try_acquire_owned() else {
            context.counters.notices_lost.add(1);
            continue;
        };
        let (context, message) = (Arc::clone(context), message.clone());
        deliveries.spawn(async move {
            send_with_retries(&context, peer, message).await;
            drop(permit);
        });
    }
    DeliverySet(deliveries)
}

/// Sends a notice until the peer acknowledges it, with at most `SEND_ATTEMPTS` attempts.
async fn send_with_retries(context: &ControlContext, peer: SocketAddr, message: NoticeMessage) {
    let mut backoff = RetryBackoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    context.counters.notices_sent.add(1);
    for attempt in 1..=SEND_ATTEMPTS {
        let request = Request::Notice(message.clone());
        if context.exchange(peer, request, SEND_TIMEOUT).await.is_ok() {
            return;
        }
        if attempt < SEND_ATTEMPTS && !context.sleep(backoff.next_delay()).await {
            break;
        }
    }
    context.counters.notices_lost.add(1);
}

/// Applies a notice from a peer, and forwards it if it is new and the fleet is large.
pub(super) fn handle_notice(context: &Arc<ControlContext>, message: NoticeMessage) {
    if !context.notices.insert_new(message.id) {
        context.counters.notices_repeated.add(1);
        return;
    }
    context.counters.notices_heard.add(1);
    match &message.notice {
        Notice::DaemonLeaving { daemon } => {
            context.fleet().mark_leaving(daemon);
            context.report_member_changes();
        }
        Notice::Suspect { digest, state } => {
            context
                .suspects
                .record_gossip(*digest, *state, context.now());
        }
        Notice::TargetLeaving { .. } => {}
    }
    context.send(Event::NoticeReceived(message.notice.clone()));
    if context.fleet().member_count() >= GOSSIP_MIN_FLEET_SIZE && message.hops < MAX_HOPS {
        let forwarded = NoticeMessage {
            hops: message.hops + 1,
            ..message
        };
        forward(context, forwarded).detach_all();
    }
}
