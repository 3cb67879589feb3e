//! Tells the other hosts what this host sends to which target.
//!
//! Hosts of the region hear of a change at once, because they send to the same targets and would
//! all choose the one that looked free a moment ago. The whole load is told again every second, so
//! that a lost datagram is made good.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::targets::{PRIORITY_LEVELS, TargetLoad};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::log::LogEvent;
use crate::remote_placement::{self, PlacementRequest, PlacementResponse};
use crate::state::SharedGateway;
use crate::target_notices::{self, TargetNotice};

/// Changes are collected for this long, so that one datagram carries what one request changes.
const COLLECT: Duration = Duration::from_millis(10);

/// Interval of datagrams to hosts of other regions, which seldom send to the same targets.
const FAR_INTERVAL: Duration = Duration::from_millis(500);

/// In a fleet of at most this many hosts all count as near: telling everybody costs little, and
/// requests often go to other regions when a region has few engines.
pub const SMALL_FLEET_HOSTS: usize = 16;

/// Every this many far intervals the whole load is told, so that lost datagrams are made good.
const WHOLE_INTERVALS: u32 = 2;

/// Longest datagram in bytes, so that none is split on its way.
const MAX_DATAGRAM: usize = 1400;

/// Targets in one datagram.
const MAX_ENTRIES: usize = 40;

/// News in one datagram.
const MAX_NEWS: usize = 20;

/// A datagram between hosts.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// What a host sends to which target.
    Load(LoadMessage),
    /// A host asks for an engine.
    PlacementRequest(PlacementRequest),
    /// The answer.
    PlacementResponse(PlacementResponse),
    /// What a target said of itself.
    TargetNotices(Vec<TargetNotice>),
}

impl PeerMessage {
    /// Its bytes; `None` if it cannot be written.
    pub fn encode(&self) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()
    }
}

/// The load of a host.
#[derive(Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadMessage {
    /// Names the host.
    host: u64,
    /// Requests, promised tokens and unread prompt tokens by rank, for each target.
    loads: Vec<(String, u32, u32, [u32; PRIORITY_LEVELS])>,
}

/// What the hosts of one group were told last.
type ToldLoads = HashMap<String, TargetLoad>;

/// Takes what the other hosts say, for ever.
pub async fn hear(gateway: SharedGateway, socket: Rc<UdpSocket>) {
    let mut buffer = [0; 2 * MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match receive(&gateway, &buffer[..length], sender) {
            Some(PeerMessage::Load(message)) => take_load(&gateway, &message),
            Some(PeerMessage::PlacementRequest(question)) => {
                let answer = PeerMessage::PlacementResponse(remote_placement::handle_request(
                    &gateway, &question,
                ));
                if let Some(bytes) = answer.encode() {
                    // Who gets no answer decides by itself.
                    let _ = socket.send_to(&bytes, sender).await;
                }
            }
            Some(PeerMessage::PlacementResponse(answer)) => gateway.placers.complete(answer),
            Some(PeerMessage::TargetNotices(news)) => {
                for news in &news {
                    target_notices::apply_notice(&gateway, news);
                }
            }
            None => {}
        }
    }
}

/// Tells the other hosts this host's load, for ever.
pub async fn tell_loads(gateway: SharedGateway, socket: Rc<UdpSocket>) {
    let mut ticks = tokio::time::interval(FAR_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0_u32;
    let mut told_near = ToldLoads::new();
    let mut told_far = ToldLoads::new();
    loop {
        // A change that is dropped here in favour of a tick is told by the tick.
        tokio::select! {
            _ = ticks.tick() => {
                round = round.wrapping_add(1);
                if round.is_multiple_of(WHOLE_INTERVALS) {
                    told_near.retain(|_, load| load.requests == 0);
                    told_far.retain(|_, load| load.requests == 0);
                }
                tell(&gateway, &socket, HostGroup::Near, &mut told_near).await;
                tell(&gateway, &socket, HostGroup::Far, &mut told_far).await;
                tell_news(&gateway, &socket, gateway.target_notices.take_repeats()).await;
                gateway.log.flush();
            }
            () = changes(&gateway) => {
                tell_news(&gateway, &socket, gateway.target_notices.take_new()).await;
                tell(&gateway, &socket, HostGroup::Near, &mut told_near).await;
            }
        }
    }
}

async fn changes(gateway: &SharedGateway) {
    gateway.peer_update_due.notified().await;
    tokio::time::sleep(COLLECT).await;
}

/// Tells all other hosts what targets said of themselves.
async fn tell_news(gateway: &SharedGateway, socket: &UdpSocket, news: Vec<TargetNotice>) {
    let own = &gateway.settings.host;
    for some in news.chunks(MAX_NEWS) {
        let Some(bytes) = PeerMessage::TargetNotices(some.to_vec()).encode() else {
            return;
        };
        let peers: Vec<SocketAddr> = gateway.with_state(|state| {
            let others = state.hosts.live().filter(|(name, _)| name != own);
            others.map(|(_, record)| record.peer_address).collect()
        });
        for peer in peers {
            // News that cannot be sent are told again.
            let _ = socket.send_to(&bytes, peer).await;
        }
    }
}

/// The hosts of this host's region, or all others. In a small fleet all are near.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostGroup {
    Near,
    Far,
}

/// Tells a group of hosts what changed since it was told last.
async fn tell(gateway: &SharedGateway, socket: &UdpSocket, group: HostGroup, told: &mut ToldLoads) {
    let settings = &gateway.settings;
    let is_near = group == HostGroup::Near;
    let (mut changed, peers) = gateway.with_state(|state| {
        let changed: Vec<(String, TargetLoad)> = state
            .targets
            .iter()
            .map(|(_, target)| (&target.entry.instance, target.local_load))
            .filter(|(instance, load)| {
                told.get(*instance)
                    .map_or(load.requests > 0, |told| told != load)
            })
            .map(|(instance, load)| (instance.clone(), load))
            .collect();
        let is_small = state.hosts.len() <= SMALL_FLEET_HOSTS;
        let peers: Vec<SocketAddr> = state
            .hosts
            .live()
            .filter(|(name, _)| *name != settings.host)
            .filter(|(_, record)| (is_small || record.region == settings.region) == is_near)
            .map(|(_, record)| record.peer_address)
            .collect();
        (changed, peers)
    });
    told.extend(changed.iter().cloned());
    while !changed.is_empty() {
        let rest = changed.split_off(changed.len().min(MAX_ENTRIES));
        let message = LoadMessage {
            host: gateway.host_id,
            loads: changed
                .into_iter()
                .map(|(name, load)| (name, load.requests, load.kv_tokens, load.pending_prefill))
                .collect(),
        };
        changed = rest;
        let Some(bytes) = PeerMessage::Load(message).encode() else {
            return;
        };
        for peer in &peers {
            // A datagram that cannot be sent is made good by the next whole load.
            let _ = socket.send_to(&bytes, peer).await;
        }
    }
}

fn receive(gateway: &SharedGateway, bytes: &[u8], sender: SocketAddr) -> Option<PeerMessage> {
    let is_host = gateway.with_state(|state| {
        state
            .hosts
            .live()
            .any(|(_, record)| record.peer_address.ip() == sender.ip())
    });
    if !is_host {
        return None;
    }
    let config = bincode::config::standard();
    if let Ok((message, _)) = bincode::serde::decode_from_slice(bytes, config) {
        return Some(message);
    }
    gateway.log.event(&LogEvent::Trouble {
        what: "datagram of a host",
        cause: format!("unreadable, from {sender}"),
    });
    None
}

fn take_load(gateway: &SharedGateway, message: &LoadMessage) {
    let now = gateway.now();
    gateway.with_state(|state| {
        for (instance, requests, tokens, unread) in &message.loads {
            let load = TargetLoad {
                requests: *requests,
                kv_tokens: *tokens,
                pending_prefill: *unread,
            };
            state
                .targets
                .record_peer_load(instance, message.host, load, now);
        }
    });
    gateway.capacity_freed.notify_waiters();
}
