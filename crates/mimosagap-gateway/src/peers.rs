//! Reports this host's load per target to the other hosts, in datagrams.
//!
//! Hosts of a region send to the same targets, so changes are reported to them at once: otherwise
//! all of them would choose the target that had free capacity a moment ago. The full load is
//! reported every second, which makes up for lost datagrams. Notices of targets and placement
//! requests use the same socket.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::settings::PLACES_CONTRACT;
use mimosagap_routing::host_liveness::LIVENESS_INTERVAL;
use mimosagap_routing::targets::{PRIORITY_LEVELS, TargetLoad};
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::credit_loans::{self, LoanRequest, LoanResponse};
use crate::evacuation;
use crate::hang_watch::{self, HangNotice};
use crate::log::LogEvent;
use crate::rate_permits::{self, PermitRequest, PermitResponse};
use crate::remote_placement::{self, PlacementRequest, PlacementResponse};
use crate::residency::{self, ContentionNotice};
use crate::state::{Gateway, SharedGateway, millis};
use crate::suspicion::{self, AgedNotice, TimedNotice};
use crate::target_notices::{self, TargetNotice};

/// Time for which changes are collected, so that one datagram carries all changes of one request.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Interval of reports to hosts of other regions, which seldom send to the same targets.
const FAR_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// In a fleet of at most this many hosts all count as near: reports to everyone cost little, and
/// requests often go to other regions when a region has few engines.
pub const SMALL_FLEET_HOSTS: usize = 16;

/// Number of far intervals between two full reports.
const FULL_REPORT_INTERVALS: u32 = 2;

/// Longest datagram in bytes; fits an Ethernet frame, so that it is not fragmented.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// Most targets in one load report.
const MAX_LOADS_PER_DATAGRAM: usize = 40;

const MAX_NOTICES_PER_DATAGRAM: usize = 20;

/// Most notices of crashes in one datagram; each has up to 16 parts of a prompt.
const MAX_SUSPICIONS_PER_DATAGRAM: usize = 6;

/// Datagram between hosts.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Load of a host per target.
    Load(LoadMessage),
    /// A host asks the placer of its region for an engine.
    PlacementRequest(PlacementRequest),
    /// Response of a placer.
    PlacementResponse(PlacementResponse),
    /// Notices that targets gave in their responses.
    TargetNotices(Vec<TargetNotice>),
    /// A host asks the keeper of a target for a permit to send a request.
    PermitRequest(PermitRequest),
    /// Response of a keeper.
    PermitResponse(PermitResponse),
    /// What a host knows of requests that crash targets.
    SuspicionNotices(Vec<AgedNotice>),
    /// A host asks another one for the credit of one retry.
    LoanRequest(LoanRequest),
    /// Response of the host that was asked.
    LoanResponse(LoanResponse),
    /// Restricted requests of a host lack capacity in a region.
    ContentionNotice(ContentionNotice),
    /// Evacuated zones whose keys the store lost, with the time for which they are held.
    HeldEvacuations(Vec<(ZoneName, Duration)>),
    /// Notices of targets that may hang. New variants come last, so that hosts of an earlier version
    /// still decode the others.
    HangNotices(Vec<HangNotice>),
}

impl PeerMessage {
    /// Encodes the message; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()
    }
}

/// Load that one host causes at its targets.
#[derive(Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadMessage {
    /// Hash of the host's name.
    host_hash: u64,
    /// For each target: instance, requests, reserved KV-cache tokens, and pending prefill tokens by
    /// priority level.
    loads: Vec<(String, u32, u32, [u32; PRIORITY_LEVELS])>,
}

/// Loads that were last reported to a group of hosts, by instance.
type ReportedLoads = HashMap<String, TargetLoad>;

/// Receives and applies datagrams of other hosts until the process ends.
pub async fn receive_messages(gateway: SharedGateway, socket: Rc<UdpSocket>) {
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match decode_message(&gateway, &buffer[..length], sender) {
            Some(PeerMessage::Load(message)) => apply_load(&gateway, &message),
            Some(PeerMessage::PlacementRequest(request)) => {
                let response = PeerMessage::PlacementResponse(remote_placement::handle_request(
                    &gateway, &request,
                ));
                if let Some(bytes) = response.encode() {
                    // A host without a response chooses an engine by itself.
                    let _ = socket.send_to(&bytes, sender).await;
                }
            }
            Some(PeerMessage::PlacementResponse(response)) => gateway.placer_rpc.complete(response),
            Some(PeerMessage::TargetNotices(notices)) => {
                for notice in &notices {
                    target_notices::apply_notice(&gateway, notice);
                }
            }
            Some(PeerMessage::SuspicionNotices(notices)) => {
                for notice in &notices {
                    suspicion::apply_notice(&gateway, notice);
                }
            }
            Some(PeerMessage::ContentionNotice(notice)) => {
                residency::apply_notice(&gateway, &notice);
            }
            Some(PeerMessage::HangNotices(notices)) => {
                let replies = hang_watch::apply_notices(&gateway, &notices);
                if !replies.is_empty()
                    && let Some(bytes) = PeerMessage::HangNotices(replies).encode()
                {
                    // The other host renews its report if the reply is lost.
                    let _ = socket.send_to(&bytes, sender).await;
                }
            }
            Some(PeerMessage::PermitRequest(request)) => {
                let response = rate_permits::handle_request(&gateway, &request);
                if let Some(bytes) = PeerMessage::PermitResponse(response).encode() {
                    // A host without a response asks again.
                    let _ = socket.send_to(&bytes, sender).await;
                }
            }
            Some(PeerMessage::HeldEvacuations(zones)) => {
                evacuation::apply_report(&gateway, &zones);
            }
            Some(PeerMessage::PermitResponse(response)) => {
                gateway.permit_client.complete(&response);
            }
            Some(PeerMessage::LoanRequest(request)) => {
                let response = credit_loans::handle_request(&gateway, &request);
                if let Some(bytes) = PeerMessage::LoanResponse(response).encode() {
                    // Credit whose transfer is lost is lost to both hosts.
                    let _ = socket.send_to(&bytes, sender).await;
                }
            }
            Some(PeerMessage::LoanResponse(response)) => gateway.loan_client.complete(response),
            None => {}
        }
    }
}

/// Reports this host's load and the notices of targets until the process ends.
pub async fn report_loads(gateway: SharedGateway, socket: Rc<UdpSocket>) {
    let mut ticks = tokio::time::interval(FAR_REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut tick_count = 0_u32;
    let mut reported_near = ReportedLoads::new();
    let mut reported_far = ReportedLoads::new();
    let mut liveness = [HostGroup::Near, HostGroup::Far].map(|group| (group, None));
    let sends_liveness = gateway.settings.has_contract(PLACES_CONTRACT);
    loop {
        // A change that loses against a tick here is reported by the tick.
        tokio::select! {
            _ = ticks.tick() => {
                tick_count = tick_count.wrapping_add(1);
                if tick_count.is_multiple_of(FULL_REPORT_INTERVALS) {
                    reported_near.retain(|_, load| load.requests == 0);
                    reported_far.retain(|_, load| load.requests == 0);
                }
                update_liveness(&gateway);
                for (group, sent_at) in &mut liveness {
                    let reported = match group {
                        HostGroup::Near => &mut reported_near,
                        HostGroup::Far => &mut reported_far,
                    };
                    let now = gateway.now();
                    let is_sent = send_changed_loads(&gateway, &socket, *group, reported).await
                        || sends_liveness
                            && sent_at.is_none_or(|at| is_liveness_due(at, now))
                            && send_loads(&gateway, &socket, *group, Vec::new()).await;
                    if is_sent {
                        *sent_at = Some(now);
                    }
                }
                send_notices(&gateway, &socket, gateway.target_notices.take_repeats()).await;
                let repeats = gateway.suspicions.notices.take_repeats();
                send_suspicions(&gateway, &socket, repeats).await;
                let repeats = gateway.hang_notices.take_repeats();
                send_hang_notices(&gateway, &socket, repeats).await;
                gateway.log.flush();
            }
            () = next_change(&gateway) => {
                send_notices(&gateway, &socket, gateway.target_notices.take_new()).await;
                let unsent = gateway.suspicions.notices.take_new();
                send_suspicions(&gateway, &socket, unsent).await;
                let unsent = gateway.hang_notices.take_new();
                send_hang_notices(&gateway, &socket, unsent).await;
                let group = HostGroup::Near;
                let now = gateway.now();
                if send_changed_loads(&gateway, &socket, group, &mut reported_near).await {
                    liveness[0].1 = Some(now);
                }
            }
        }
    }
}

/// Whether an empty report is due before the next tick, after which it would be late.
fn is_liveness_due(sent_at: Duration, now: Duration) -> bool {
    now + FAR_REPORT_INTERVAL / 2 >= sent_at + LIVENESS_INTERVAL
}

/// Updates which hosts are silent, and logs changes.
fn update_liveness(gateway: &Gateway) {
    let now = gateway.now();
    let changed = gateway.with_state(|state| {
        state.host_liveness.record_tick(now);
        let own_host = &gateway.settings.host;
        let hosts = &mut state.hosts;
        let silent = state.host_liveness.silent_hosts(hosts, own_host, now);
        let count = i64::try_from(silent.len()).unwrap_or(i64::MAX);
        gateway.metrics.exclusions.silent_hosts.set(count);
        let changed = hosts.set_silent(&silent).into_iter();
        let changed = changed.map(|(name, is_silent)| {
            let record = hosts.live().find(|(other, _)| *other == name);
            let silence = record
                .and_then(|(_, record)| state.host_liveness.silence(record.peer_address, now));
            (name, is_silent, silence)
        });
        changed.collect::<Vec<_>>()
    });
    for (name, silent, silence) in changed {
        gateway.log.event(&LogEvent::HostSilent {
            name: &name,
            silent,
            silent_ms: millis(silence.unwrap_or_default()),
        });
    }
}

/// Waits for a change to report, and then for others that follow at once.
async fn next_change(gateway: &SharedGateway) {
    gateway.peer_update_due.notified().await;
    tokio::time::sleep(BATCH_DELAY).await;
}

/// Sends notices of targets to all other hosts.
async fn send_notices(gateway: &SharedGateway, socket: &UdpSocket, notices: Vec<TargetNotice>) {
    for chunk in notices.chunks(MAX_NOTICES_PER_DATAGRAM) {
        let now = gateway.now();
        let chunk = chunk.iter().map(|notice| notice.to_ages(now)).collect();
        send_to_all(gateway, socket, &PeerMessage::TargetNotices(chunk)).await;
    }
}

/// Sends notices of requests that crash targets to all other hosts.
async fn send_suspicions(gateway: &SharedGateway, socket: &UdpSocket, notices: Vec<TimedNotice>) {
    for chunk in notices.chunks(MAX_SUSPICIONS_PER_DATAGRAM) {
        let now = gateway.now();
        let chunk = chunk.iter().map(|notice| notice.to_ages(now)).collect();
        send_to_all(gateway, socket, &PeerMessage::SuspicionNotices(chunk)).await;
    }
}

/// Sends notices of targets that may hang to all other hosts.
async fn send_hang_notices(gateway: &SharedGateway, socket: &UdpSocket, notices: Vec<HangNotice>) {
    for chunk in notices.chunks(MAX_NOTICES_PER_DATAGRAM) {
        let now = gateway.now();
        let chunk = chunk.iter().map(|notice| notice.to_ages(now)).collect();
        send_to_all(gateway, socket, &PeerMessage::HangNotices(chunk)).await;
    }
}

/// Sends a message to all other hosts.
pub async fn send_to_all(gateway: &SharedGateway, socket: &UdpSocket, message: &PeerMessage) {
    let Some(bytes) = message.encode() else {
        return;
    };
    let own_host = &gateway.settings.host;
    let peers: Vec<SocketAddr> = gateway.with_state(|state| {
        let other_hosts = state.hosts.live().filter(|(name, _)| name != own_host);
        other_hosts.map(|(_, record)| record.peer_address).collect()
    });
    for peer in peers {
        // A notice that cannot be sent is repeated.
        let _ = socket.send_to(&bytes, peer).await;
    }
}

/// Hosts of this host's region, or all others. In a small fleet all are near.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostGroup {
    Near,
    Far,
}

/// Sends a group of hosts the loads that changed since the last report. Returns whether anything was
/// sent.
async fn send_changed_loads(
    gateway: &SharedGateway,
    socket: &UdpSocket,
    group: HostGroup,
    reported: &mut ReportedLoads,
) -> bool {
    let mut changed: Vec<(String, TargetLoad)> = gateway.with_state(|state| {
        state
            .targets
            .iter()
            .map(|(_, target)| (&target.entry.instance, target.local_load))
            .filter(|(instance, load)| {
                reported
                    .get(*instance)
                    .map_or(load.requests > 0, |reported| reported != load)
            })
            .map(|(instance, load)| (instance.clone(), load))
            .collect()
    });
    reported.extend(changed.iter().cloned());
    let mut is_sent = false;
    while !changed.is_empty() {
        let rest = changed.split_off(changed.len().min(MAX_LOADS_PER_DATAGRAM));
        is_sent |= send_loads(gateway, socket, group, changed).await;
        changed = rest;
    }
    is_sent
}

/// Sends a load report to a group of hosts. An empty one says only that this host runs. Returns
/// whether there are such hosts.
async fn send_loads(
    gateway: &SharedGateway,
    socket: &UdpSocket,
    group: HostGroup,
    loads: Vec<(String, TargetLoad)>,
) -> bool {
    let settings = &gateway.settings;
    let is_near = group == HostGroup::Near;
    let peers: Vec<SocketAddr> = gateway.with_state(|state| {
        let is_small_fleet = state.hosts.len() <= SMALL_FLEET_HOSTS;
        state
            .hosts
            .live()
            .filter(|(name, _)| *name != settings.host)
            .filter(|(_, record)| (is_small_fleet || record.region == settings.region) == is_near)
            .map(|(_, record)| record.peer_address)
            .collect()
    });
    let message = LoadMessage {
        host_hash: gateway.host_hash,
        loads: loads
            .into_iter()
            .map(|(name, load)| (name, load.requests, load.kv_tokens, load.pending_prefill))
            .collect(),
    };
    let Some(bytes) = PeerMessage::Load(message).encode() else {
        return false;
    };
    for peer in &peers {
        // The next full report makes up for a datagram that cannot be sent.
        let _ = socket.send_to(&bytes, peer).await;
    }
    !peers.is_empty()
}

/// Decodes a datagram, if its sender is a host of the fleet.
fn decode_message(
    gateway: &SharedGateway,
    bytes: &[u8],
    sender: SocketAddr,
) -> Option<PeerMessage> {
    let now = gateway.now();
    let is_known_host = gateway.with_state(|state| {
        let mut known_hosts = state.hosts.live();
        let is_known = known_hosts.any(|(_, record)| record.peer_address.ip() == sender.ip());
        if is_known {
            state.host_liveness.record_datagram(sender, now);
        }
        is_known
    });
    if !is_known_host {
        return None;
    }
    let config = bincode::config::standard();
    if let Ok((message, _)) = bincode::serde::decode_from_slice(bytes, config) {
        return Some(message);
    }
    gateway.log.event(&LogEvent::Trouble {
        what: "a datagram of another host cannot be decoded",
        cause: format!("sent by {sender}; check that both hosts run the same version"),
    });
    None
}

fn apply_load(gateway: &SharedGateway, message: &LoadMessage) {
    if message.loads.is_empty() {
        return;
    }
    let now = gateway.now();
    gateway.with_state(|state| {
        for (instance, requests, kv_tokens, pending_prefill) in &message.loads {
            let load = TargetLoad {
                requests: *requests,
                kv_tokens: *kv_tokens,
                pending_prefill: *pending_prefill,
            };
            state
                .targets
                .record_peer_load(instance, message.host_hash, load, now);
        }
    });
    gateway.capacity_freed.notify_waiters();
}
