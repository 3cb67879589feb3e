//! Notices: to all peers in a small fleet, by epidemic spread in a large one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosagap_core::{Event, Notice};
use mimosagap_peer::{NoticeMessage, Request};
use tokio::task::JoinSet;

use super::backoff::{Backoff, choose};
use super::bounded::BoundedMap;
use super::shared::{Control, lock};

/// From this fleet size on, notices are passed on instead of being sent to all.
const SPREAD_FROM: usize = 16;
const FAN_OUT: usize = 4;
/// One wave with a fan-out of 4 misses 2% of a large fleet, two waves 0.03%.
const SECOND_WAVE: Duration = Duration::from_millis(300);
/// Enough for 4^8 daemons.
const MAX_HOPS: u8 = 8;
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_ATTEMPTS: u32 = 3;
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(1);
const MAX_SEEN: usize = 4_096;

/// The notices that this daemon sent or heard.
pub(super) struct SeenNotices {
    seen: Mutex<BoundedMap<u128, ()>>,
}

impl Default for SeenNotices {
    fn default() -> Self {
        Self {
            seen: Mutex::new(BoundedMap::new(MAX_SEEN)),
        }
    }
}

impl SeenNotices {
    /// Whether the notice is new.
    fn note(&self, id: u128) -> bool {
        let mut seen = lock(&self.seen);
        seen.get(&id).is_none() && seen.insert(id, ()).is_none()
    }
}

/// Sends news to the peers.
pub(super) fn spread(control: &Arc<Control>, notice: Notice) {
    begin_spread(control, notice).detach_all();
}

/// Sends news to the peers. The tasks end with the peers' acknowledgements, and go on when the
/// set is detached.
pub(super) fn begin_spread(control: &Arc<Control>, notice: Notice) -> Deliveries {
    let message = NoticeMessage {
        id: random_id(),
        hops: 0,
        notice,
    };
    control.notices.note(message.id);
    pass_on(control, message)
}

/// Sends to all peers of a small fleet, or in two waves to some of a large one.
fn pass_on(control: &Arc<Control>, message: NoticeMessage) -> Deliveries {
    let mut peers = control.peer_addresses();
    if control.fleet().len() < SPREAD_FROM {
        return deliver(control, &message, peers);
    }
    choose(&mut peers, 2 * FAN_OUT);
    let second = peers.split_off(FAN_OUT.min(peers.len()));
    let first = deliver(control, &message, peers);
    let control = Arc::clone(control);
    tokio::spawn(async move {
        if control.sleep(SECOND_WAVE).await {
            deliver(&control, &message, second).detach_all();
        }
    });
    first
}

fn random_id() -> u128 {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).expect("the operating system provides random bytes");
    u128::from_be_bytes(bytes)
}

/// Messages on their way to peers.
pub(super) struct Deliveries(JoinSet<()>);

impl Deliveries {
    pub(super) async fn join_all(self) {
        self.0.join_all().await;
    }

    fn detach_all(mut self) {
        self.0.detach_all();
    }
}

fn deliver(control: &Arc<Control>, message: &NoticeMessage, peers: Vec<SocketAddr>) -> Deliveries {
    let mut deliveries = JoinSet::new();
    for peer in peers {
        let Ok(room) = Arc::clone(&control.notice_room).try_acquire_owned() else {
            control.counters.notices_lost.add(1);
            continue;
        };
        let (control, message) = (Arc::clone(control), message.clone());
        deliveries.spawn(async move {
            send(&control, peer, message).await;
            drop(room);
        });
    }
    Deliveries(deliveries)
}

/// Sends until the peer acknowledges, three times at most.
async fn send(control: &Control, peer: SocketAddr, message: NoticeMessage) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY);
    control.counters.notices_sent.add(1);
    for attempt in 1..=SEND_ATTEMPTS {
        let request = Request::Notice(message.clone());
        if control.ask(peer, request, SEND_TIMEOUT).await.is_ok() {
            return;
        }
        if attempt < SEND_ATTEMPTS && !control.sleep(backoff.next_wait()).await {
            break;
        }
    }
    control.counters.notices_lost.add(1);
}

/// Takes over a peer's notice, and passes it on if it is new.
pub(super) fn hear(control: &Arc<Control>, message: NoticeMessage) {
    if !control.notices.note(message.id) {
        control.counters.notices_repeated.add(1);
        return;
    }
    control.counters.notices_heard.add(1);
    match &message.notice {
        Notice::DaemonLeaving { daemon } => {
            control.fleet().hear_leaving(daemon);
            control.members_changed();
        }
        Notice::Suspect { digest, state } => {
            control.suspects.hear(*digest, *state, control.now());
        }
        Notice::TargetLeaving { .. } => {}
    }
    control.send(Event::NoticeReceived(message.notice.clone()));
    if control.fleet().len() >= SPREAD_FROM && message.hops < MAX_HOPS {
        let next = NoticeMessage {
            hops: message.hops + 1,
            ..message
        };
        pass_on(control, next).detach_all();
    }
}
