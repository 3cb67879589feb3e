//! Asks the placer of the own region for an engine, and answers the other hosts of the region.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::placement::{
    GenerationDemand, Placement, PlacementOptions, place_generation,
};
use mimosagap_routing::placer_selection::PlacerSelector;
use mimosagap_routing::targets::{Locality, Target, TargetKey, TargetLoad};
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::peers::PeerMessage;
use crate::state::{Gateway, GatewayState, SharedGateway};

/// A placer answers within this time, or the host decides by itself: a round trip within a region
/// takes a millisecond, and a small host some more for its work.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// A question to a placer.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct PlacementRequest {
    id: u64,
    /// Names the host that asks.
    host_id: u64,
    service: DeploymentName,
    home_zone: ZoneName,
    demand: GenerationDemand,
    /// How long it may wait behind the prompts of others.
    max_queue_time: Duration,
    /// The time that it takes besides its prompt, if it may be begun again.
    restart_time: Option<Duration>,
    /// Instances that must not be used.
    excluded: Vec<String>,
}

/// What a placer answers.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct PlacementResponse {
    id: u64,
    verdict: PlacementVerdict,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum PlacementVerdict {
    /// The engine may be used.
    Granted {
        instance: String,
        time_to_first_token: Duration,
        cost: Duration,
    },
    /// No engine has room.
    NoCapacity,
}

/// The questions that wait for their answer.
#[derive(Default)]
pub struct PlacementClient {
    socket: OnceCell<Rc<UdpSocket>>,
    next_id: Cell<u64>,
    pending: RefCell<HashMap<u64, oneshot::Sender<PlacementVerdict>>>,
    selector: RefCell<PlacerSelector>,
}

impl PlacementClient {
    /// Sets the socket on which questions are sent.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // There is one socket for the life of the process.
        let _ = self.socket.set(socket);
    }

    /// Takes an answer.
    pub fn complete(&self, response: PlacementResponse) {
        if let Some(sender) = self.pending.borrow_mut().remove(&response.id) {
            // Whoever asked may have stopped waiting.
            let _ = sender.send(response.verdict);
        }
    }
}

/// What came of a question.
pub enum PlacementOutcome {
    /// The placer chose this engine.
    Placed(Placement),
    /// No engine of the region has room.
    NoCapacity,
    /// No placer answered.
    NoDecision,
}

/// Asks the placer of this host's region.
pub async fn request_placement(
    gateway: &SharedGateway,
    options: &PlacementOptions<'_>,
    excluded: &[TargetKey],
) -> PlacementOutcome {
    let settings = &gateway.settings;
    let now = gateway.now();
    let client = &gateway.placers;
    let placer = gateway.with_state(|state| {
        let selector = client.selector.borrow();
        let (name, record) = selector.select(&state.hosts, &settings.region, now)?;
        Some((name.to_owned(), record.peer_address))
    });
    let Some((name, address)) = placer else {
        return PlacementOutcome::NoDecision;
    };
    if name == settings.host {
        return gateway.with_state(|state| choose_in_region(state, options, excluded, now));
    }
    let id = client.next_id.get();
    client.next_id.set(id + 1);
    let request = PlacementRequest {
        id,
        host_id: gateway.host_id,
        service: options.service.clone(),
        home_zone: options.home_zone.clone(),
        demand: options.demand,
        max_queue_time: options.max_queue_time,
        restart_time: options.restart_time,
        excluded: excluded.iter().map(|key| gateway.instance(*key)).collect(),
    };
    let response = timeout(RESPONSE_TIMEOUT, send_request(client, address, request)).await;
    client.pending.borrow_mut().remove(&id);
    match response {
        Ok(Some(PlacementVerdict::Granted {
            instance,
            time_to_first_token,
            cost,
        })) => {
            let now = gateway.now();
            let usable_engine = gateway.with_state(|state| {
                let key = state.targets.find_instance(&instance)?;
                let target = state.targets.get(key)?;
                let may_use = target.is_available(now) || target.is_available_while_draining(now);
                may_use.then_some(key)
            });
            // Otherwise this host knows better, or does not know it yet.
            usable_engine.map_or(PlacementOutcome::NoDecision, |target| {
                PlacementOutcome::Placed(Placement {
                    target,
                    time_to_first_token,
                    cost,
                })
            })
        }
        Ok(Some(PlacementVerdict::NoCapacity)) => PlacementOutcome::NoCapacity,
        Ok(None) | Err(_) => {
            client
                .selector
                .borrow_mut()
                .record_failure(&name, gateway.now());
            gateway.log.event(&LogEvent::Trouble {
                what: "placer of the region",
                cause: format!("no response from {name}; this host chooses the engine itself"),
            });
            PlacementOutcome::NoDecision
        }
    }
}

async fn send_request(
    client: &PlacementClient,
    address: SocketAddr,
    request: PlacementRequest,
) -> Option<PlacementVerdict> {
    let socket = client.socket.get()?;
    let (sender, receiver) = oneshot::channel();
    client.pending.borrow_mut().insert(request.id, sender);
    let bytes = PeerMessage::PlacementRequest(request).encode()?;
    socket.send_to(&bytes, address).await.ok()?;
    receiver.await.ok()
}

/// Decides on the engines of this host's region.
fn choose_in_region(
    state: &mut GatewayState,
    options: &PlacementOptions<'_>,
    excluded: &[TargetKey],
    now: Duration,
) -> PlacementOutcome {
    let GatewayState { targets, rng, .. } = state;
    let may_use = |key: TargetKey, target: &Target| {
        target.locality != Locality::OtherRegion && !excluded.contains(&key)
    };
    place_generation(targets, options, may_use, now, rng)
        .map_or(PlacementOutcome::NoCapacity, PlacementOutcome::Placed)
}

/// Answers a question of another host, and counts the work that it is about to send.
pub fn handle_request(gateway: &Gateway, request: &PlacementRequest) -> PlacementResponse {
    let now = gateway.now();
    let demand = request.demand;
    let verdict = gateway.with_state(|state| {
        let excluded: Vec<TargetKey> = request
            .excluded
            .iter()
            .filter_map(|instance| state.targets.find_instance(instance))
            .collect();
        let options = PlacementOptions {
            service: &request.service,
            demand,
            home_zone: &request.home_zone,
            max_queue_time: request.max_queue_time,
            restart_time: request.restart_time,
            cost_jitter: Duration::ZERO,
            remote_partition_host: None,
        };
        let PlacementOutcome::Placed(placement) = choose_in_region(state, &options, &excluded, now)
        else {
            return PlacementVerdict::NoCapacity;
        };
        let load = TargetLoad::for_request(
            demand.mean_kv_tokens(),
            demand.prompt_tokens,
            demand.priority_level,
        );
        let targets = &mut state.targets;
        targets.reserve(placement.target, request.host_id, load, now);
        match targets.get(placement.target) {
            Some(target) => PlacementVerdict::Granted {
                instance: target.entry.instance.clone(),
                time_to_first_token: placement.time_to_first_token,
                cost: placement.cost,
            },
            None => PlacementVerdict::NoCapacity,
        }
    });
    PlacementResponse {
        id: request.id,
        verdict,
    }
}
