//! Placement of generations on the engines of the region by its placer.
//!
//! The placer is the one host that chooses for all hosts of its region, because hosts that choose
//! at the same moment, by loads that are some milliseconds old, would all pick the same engine.
//! This module holds the client that asks the placer over UDP and the handler that runs on the
//! placer.

use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::placement::{
    GenerationDemand, Placement, PlacementOptions, may_place_on, place_generation,
};
use mimosagap_routing::placer_selection::PlacerSelector;
use mimosagap_routing::residency::UNRESTRICTED;
use mimosagap_routing::target_suspicion::Standing;
use mimosagap_routing::targets::{Locality, Target, TargetKey, TargetLoad};
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::peers::PeerMessage;
use crate::pending_responses::{PendingResponse, PendingResponses};
use crate::state::{Gateway, GatewayState, SharedGateway};

/// A host that gets no response from the placer within this time chooses an engine itself. A round
/// trip within a region takes a millisecond, and a small host needs some more for its work.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for a response of the placer of another region: a round trip of 60 ms, and as much as
/// [`RESPONSE_TIMEOUT`] for its work, with a margin for a delayed datagram.
const OTHER_REGION_TIMEOUT: Duration = Duration::from_millis(120);

/// Asks a placer for an engine.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct PlacementRequest {
    id: u64,
    /// Hash of the name of the host that asks.
    host_hash: u64,
    service: DeploymentName,
    home_zone: ZoneName,
    demand: GenerationDemand,
    /// How long the generation may wait behind the prompts of others.
    max_queue_time: Duration,
    /// Expected time after the prompt is read; `None` if the generation must not be started again
    /// elsewhere.
    restart_time: Option<Duration>,
    /// Instances that must not be chosen.
    excluded: Vec<String>,
    /// Version of the engine that began the generation; `None` if none has. The last field, so that
    /// hosts of an earlier version still decode the others.
    version: Option<SoftwareVersion>,
}

/// The placer's response to a [`PlacementRequest`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct PlacementResponse {
    id: u64,
    decision: PlacementDecision,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum PlacementDecision {
    /// The engine to use, with capacity reserved for the generation.
    Granted {
        instance: String,
        time_to_first_token: Duration,
        cost: Duration,
    },
    /// No engine of the region has free capacity.
    NoCapacity,
}

/// Sends placement requests and matches responses to them.
pub struct PlacementClient {
    socket: OnceCell<Rc<UdpSocket>>,
    pending: PendingResponses<PlacementDecision>,
    selector: RefCell<PlacerSelector>,
}

impl Default for PlacementClient {
    fn default() -> Self {
        Self {
            socket: OnceCell::new(),
            pending: PendingResponses::new(0),
            selector: RefCell::default(),
        }
    }
}

impl PlacementClient {
    /// Sets the socket for requests.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The socket is set once, for the life of the process.
        let _ = self.socket.set(socket);
    }

    /// The socket for datagrams to other hosts; `None` before it is set.
    pub fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.get().cloned()
    }

    /// Passes a response to the request that waits for it.
    pub fn complete(&self, response: PlacementResponse) {
        self.pending.complete(response.id, response.decision);
    }
}

/// Result of a placement request.
pub enum PlacementOutcome {
    /// The placer chose this engine, which the request may use.
    Placed(Placement),
    /// No engine of the region has free capacity.
    NoCapacity,
    /// There is no placer, it did not respond, or its choice is not available to this host.
    NoDecision,
}

/// Asks the placer of a region for an engine; chooses locally if this host is the placer. A placer
/// gets the needs of a request, not its body, and is asked only if its region is allowed.
pub async fn request_placement(
    gateway: &SharedGateway,
    region: &RegionName,
    options: &PlacementOptions<'_>,
    excluded: &[TargetKey],
) -> PlacementOutcome {
    let settings = &gateway.settings;
    if !options.residency.allowed().contains(Some(region)) {
        return PlacementOutcome::NoDecision;
    }
    let now = gateway.now();
    let client = &gateway.placer_rpc;
    let placer = gateway.with_state(|state| {
        let selector = client.selector.borrow();
        let (name, record) = selector.select(&state.hosts, region, now)?;
        Some((name.to_owned(), record.peer_address))
    });
    let Some((name, address)) = placer else {
        return PlacementOutcome::NoDecision;
    };
    if name == settings.host {
        return gateway.with_state(|state| choose_in_region(state, options, excluded, now));
    }
    let mut pending = client.pending.add();
    let request = PlacementRequest {
        id: pending.id,
        host_hash: gateway.host_hash,
        service: options.service.clone(),
        home_zone: options.home_zone.clone(),
        demand: options.demand,
        max_queue_time: options.max_queue_time,
        restart_time: options.restart_time,
        excluded: excluded.iter().map(|key| gateway.instance(*key)).collect(),
        version: options.version.cloned(),
    };
    let response = send_request(client, address, request, &mut pending);
    let response_timeout = if *region == settings.region {
        RESPONSE_TIMEOUT
    } else {
        OTHER_REGION_TIMEOUT
    };
    match timeout(response_timeout, response).await {
        Ok(Some(PlacementDecision::Granted {
            instance,
            time_to_first_token,
            cost,
        })) => {
            let now = gateway.now();
            let usable_engine = gateway.with_state(|state| {
                let key = state.targets.find_instance(&instance)?;
                let target = state.targets.get(key)?;
                let permitted = options.residency.permit_target(&state.targets, key)?;
                // The placer may not have heard of a suspicion; it avoids what it knows of.
                let is_suspected = target.suspicion.standing(now) == Standing::Suspected;
                let is_usable = may_place_on(&state.targets, options, target, now) && !is_suspected;
                is_usable.then_some(permitted)
            });
            // An engine may be unavailable, leave without the placer's knowledge, or not be known to
            // this host yet.
            usable_engine.map_or(PlacementOutcome::NoDecision, |target| {
                PlacementOutcome::Placed(Placement {
                    target,
                    time_to_first_token,
                    cost,
                })
            })
        }
        Ok(Some(PlacementDecision::NoCapacity)) => PlacementOutcome::NoCapacity,
        Ok(None) | Err(_) => {
            client
                .selector
                .borrow_mut()
                .record_failure(&name, gateway.now());
            gateway.log.event(&LogEvent::Trouble {
                what: "the placer of a region does not respond",
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
    pending: &mut PendingResponse<'_, PlacementDecision>,
) -> Option<PlacementDecision> {
    let socket = client.socket.get()?;
    let bytes = PeerMessage::PlacementRequest(request).encode()?;
    socket.send_to(&bytes, address).await.ok()?;
    pending.receive().await
}

/// Chooses among the engines of this host's region.
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

/// Chooses an engine for another host and reserves the load that the host is about to send.
pub fn handle_request(gateway: &Gateway, request: &PlacementRequest) -> PlacementResponse {
    let now = gateway.now();
    let demand = request.demand;
    let decision = gateway.with_state(|state| {
        let excluded: Vec<TargetKey> = request
            .excluded
            .iter()
            .filter_map(|instance| state.targets.find_instance(instance))
            .collect();
        let options = PlacementOptions {
            service: &request.service,
            demand,
            version: request.version.as_ref(),
            home_zone: &request.home_zone,
            max_queue_time: request.max_queue_time,
            restart_time: request.restart_time,
            cost_jitter: Duration::ZERO,
            remote_partition_host: None,
            // The region is that of this host, and the host that asks has checked that it is allowed.
            residency: &UNRESTRICTED,
        };
        let PlacementOutcome::Placed(placement) = choose_in_region(state, &options, &excluded, now)
        else {
            return PlacementDecision::NoCapacity;
        };
        let load = TargetLoad::for_request(
            demand.mean_kv_tokens(),
            demand.prompt_tokens,
            demand.priority_level,
        );
        let targets = &mut state.targets;
        let key = placement.target.key();
        targets.reserve(key, request.host_hash, load, now);
        match targets.get(key) {
            Some(target) => PlacementDecision::Granted {
                instance: target.entry.instance.clone(),
                time_to_first_token: placement.time_to_first_token,
                cost: placement.cost,
            },
            None => PlacementDecision::NoCapacity,
        }
    });
    PlacementResponse {
        id: request.id,
        decision,
    }
}
