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
use crate::notices::{self, TargetNews};
use crate::placers::{self, PlaceAnswer, PlaceQuestion};
use crate::state::SharedGateway;

/// Changes are collected for this long, so that one datagram carries what one request changes.
const COLLECT: Duration = Duration::from_millis(10);

/// Interval of datagrams to hosts of other regions, which seldom send to the same targets.
const FAR_INTERVAL: Duration = Duration::from_millis(500);

/// In a fleet of at most this many hosts all count as near: telling everybody costs little, and
/// requests often go to other regions when a region has few engines.
pub const SMALL_FLEET: usize = 16;

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
    Question(PlaceQuestion),
    /// The answer.
    Answer(PlaceAnswer),
    /// What a target said of itself.
    News(Vec<TargetNews>),
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
            Some(PeerMessage::Question(question)) => {
                let answer = PeerMessage::Answer(placers::answer(&gateway, &question));
                if let Some(bytes) = answer.encode() {
                    // Who gets no answer decides by itself.
                    let _ = socket.send_to(&bytes, sender).await;
                }
            }
            Some(PeerMessage::Answer(answer)) => gateway.placers.take(answer),
            Some(PeerMessage::News(news)) => {
                for news in &news {
                    notices::take_news(&gateway, news);
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
                tell_news(&gateway, &socket, gateway.target_news.take_again()).await;
                gateway.log.flush();
            }
            () = changes(&gateway) => {
                tell_news(&gateway, &socket, gateway.target_news.take_fresh()).await;
                tell(&gateway, &socket, HostGroup::Near, &mut told_near).await;
            }
        }
    }
}

async fn changes(gateway: &SharedGateway) {
    gateway.loads.notified().await;
    tokio::time::sleep(COLLECT).await;
}

/// Tells all other hosts what targets said of themselves.
async fn tell_news(gateway: &SharedGateway, socket: &UdpSocket, news: Vec<TargetNews>) {
    let own = &gateway.settings.host;
    for some in news.chunks(MAX_NEWS) {
        let Some(bytes) = PeerMessage::News(some.to_vec()).encode() else {
            return;
        };
        let peers: Vec<SocketAddr> = gateway.with(|beliefs| {
            let others = beliefs.hosts.live().filter(|(name, _)| name != own);
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
    let (mut changed, peers) = gateway.with(|beliefs| {
        let changed: Vec<(String, TargetLoad)> = beliefs
            .targets
            .iter()
            .map(|(_, target)| (&target.entry.instance, target.local_load))
            .filter(|(instance, load)| {
                told.get(*instance)
                    .map_or(load.requests > 0, |told| told != load)
            })
            .map(|(instance, load)| (instance.clone(), load))
            .collect();
        let is_small = beliefs.hosts.len() <= SMALL_FLEET;
        let peers: Vec<SocketAddr> = beliefs
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
            host: gateway.host_mark,
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
    let is_host = gateway.with(|beliefs| {
        beliefs
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
    gateway.with(|beliefs| {
        for (instance, requests, tokens, unread) in &message.loads {
            let load = TargetLoad {
                requests: *requests,
                kv_tokens: *tokens,
                pending_prefill: *unread,
            };
            beliefs
                .targets
                .record_peer_load(instance, message.host, load, now);
        }
    });
    gateway.places.notify_waiters();
}
