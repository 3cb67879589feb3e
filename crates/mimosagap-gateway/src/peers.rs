//! Tells the other hosts what this host sends to which target.
//!
//! Datagrams carry the whole state, so one that is lost is made good by the next. Hosts of the
//! region hear of it more often, because they send to the same targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_routing::targets::{RANKS, TargetLoad};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::log::LogEvent;
use crate::state::SharedGateway;

/// Interval of datagrams to hosts of the region.
const INTERVAL: Duration = Duration::from_millis(200);

/// Every this many intervals hosts of other regions hear of it too.
const FAR_INTERVALS: u32 = 2;

/// Longest datagram in bytes, so that none is split on its way.
const MAX_DATAGRAM: usize = 1400;

#[derive(Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct LoadMessage {
    /// Names the host.
    host: u64,
    /// Requests, promised tokens and unread prompt tokens by rank, for each target.
    loads: Vec<(String, u32, u32, [u32; RANKS])>,
}

/// Sends this host's load and takes that of the others, for ever.
pub async fn exchange_loads(gateway: SharedGateway, socket: UdpSocket) {
    let host = name_mark(&gateway.settings.host);
    let mut buffer = [0; 2 * MAX_DATAGRAM];
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0_u32;
    let mut said: HashMap<String, TargetLoad> = HashMap::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                round = round.wrapping_add(1);
                send(&gateway, &socket, host, round, &mut said).await;
                gateway.log.flush();
            }
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, sender)) = received {
                    receive(&gateway, &buffer[..length], sender);
                }
            }
        }
    }
}

fn name_mark(name: &str) -> u64 {
    mimosagap_routing::quarantine::CrashMark::new(name, 0).0
}

async fn send(
    gateway: &SharedGateway,
    socket: &UdpSocket,
    host: u64,
    round: u32,
    said: &mut HashMap<String, TargetLoad>,
) {
    let own = gateway.settings.host.as_str();
    let includes_far = round.is_multiple_of(FAR_INTERVALS);
    let (loads, peers) = gateway.with(|beliefs| {
        let loads: HashMap<String, TargetLoad> = beliefs
            .targets
            .iter()
            .filter(|(_, target)| target.own.requests > 0)
            .map(|(_, target)| (target.entry.instance.clone(), target.own))
            .collect();
        let peers: Vec<SocketAddr> = beliefs
            .hosts
            .live()
            .filter(|(name, _)| *name != own)
            .filter(|(_, record)| includes_far || record.region == gateway.settings.region)
            .map(|(_, record)| record.peers)
            .collect();
        (loads, peers)
    });
    // A target without work is named once more, so that the others hear of its end.
    let ended = said.keys().filter(|name| !loads.contains_key(*name));
    let mut entries: Vec<_> = loads
        .iter()
        .map(|(name, load)| (name.clone(), load.requests, load.tokens, load.unread))
        .chain(ended.map(|name| (name.clone(), 0, 0, [0; RANKS])))
        .collect();
    if entries.is_empty() {
        return;
    }
    if includes_far {
        *said = loads;
    }
    while !entries.is_empty() {
        let rest = entries.split_off(entries.len().min(40));
        let message = LoadMessage {
            host,
            loads: entries,
        };
        entries = rest;
        let Ok(bytes) = bincode::serde::encode_to_vec(&message, bincode::config::standard()) else {
            return;
        };
        for peer in &peers {
            // A datagram that cannot be sent is made good by the next.
            let _ = socket.send_to(&bytes, peer).await;
        }
    }
}

fn receive(gateway: &SharedGateway, bytes: &[u8], sender: SocketAddr) {
    let is_host = gateway.with(|beliefs| {
        beliefs
            .hosts
            .live()
            .any(|(_, record)| record.peers.ip() == sender.ip())
    });
    if !is_host {
        return;
    }
    let config = bincode::config::standard();
    let message = bincode::serde::decode_from_slice::<LoadMessage, _>(bytes, config);
    let Ok((message, _)) = message else {
        gateway.log.event(&LogEvent::Trouble {
            what: "datagram of a host",
            cause: format!("unreadable, from {sender}"),
        });
        return;
    };
    let now = gateway.now();
    gateway.with(|beliefs| {
        for (instance, requests, tokens, unread) in &message.loads {
            let load = TargetLoad {
                requests: *requests,
                tokens: *tokens,
                unread: *unread,
            };
            beliefs.targets.peer_load(instance, message.host, load, now);
        }
    });
    gateway.places.notify_waiters();
}
