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
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// A question to a placer.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct PlacementRequest {
    number: u64,
    /// Names the host that asks.
    host: u64,
    service: DeploymentName,
    home: ZoneName,
    need: GenerationDemand,
    /// How long it may wait behind the prompts of others.
    patience: Duration,
    /// The time that it takes besides its prompt, if it may be begun again.
    repeatable_for: Option<Duration>,
    /// Instances that must not be used.
    avoid: Vec<String>,
}

/// What a placer answers.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct PlacementResponse {
    number: u64,
    verdict: Verdict,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Verdict {
    /// The engine may be used.
    Granted {
        instance: String,
        time_to_first_token: Duration,
        cost: Duration,
    },
    /// No engine has room.
    Full,
}

/// The questions that wait for their answer.
#[derive(Default)]
pub struct PlacementClient {
    socket: OnceCell<Rc<UdpSocket>>,
    next: Cell<u64>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    choice: RefCell<PlacerSelector>,
}

impl PlacementClient {
    /// Sets the socket on which questions are sent.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // There is one socket for the life of the process.
        let _ = self.socket.set(socket);
    }

    /// Takes an answer.
    pub fn complete(&self, answer: PlacementResponse) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&answer.number) {
            // Whoever asked may have stopped waiting.
            let _ = waiting.send(answer.verdict);
        }
    }
}

/// What came of a question.
pub enum Placed {
    /// The engine to use.
    At(Placement),
    /// No engine of the region has room.
    Full,
    /// No placer answered.
    Unknown,
}

/// Asks the placer of this host's region.
pub async fn ask(
    gateway: &SharedGateway,
    options: &PlacementOptions<'_>,
    avoid: &[TargetKey],
) -> Placed {
    let settings = &gateway.settings;
    let now = gateway.now();
    let client = &gateway.placers;
    let placer = gateway.with_state(|state| {
        let choice = client.choice.borrow();
        let (name, record) = choice.select(&state.hosts, &settings.region, now)?;
        Some((name.to_owned(), record.peer_address))
    });
    let Some((name, address)) = placer else {
        return Placed::Unknown;
    };
    if name == settings.host {
        return gateway.with_state(|state| decide(state, options, avoid, now));
    }
    let number = client.next.get();
    client.next.set(number + 1);
    let question = PlacementRequest {
        number,
        host: gateway.host_id,
        service: options.service.clone(),
        home: options.home_zone.clone(),
        need: options.demand,
        patience: options.max_queue_time,
        repeatable_for: options.restart_time,
        avoid: avoid.iter().map(|key| gateway.instance(*key)).collect(),
    };
    let answer = timeout(ANSWER_TIMEOUT, send(client, address, question)).await;
    client.pending.borrow_mut().remove(&number);
    match answer {
        Ok(Some(Verdict::Granted {
            instance,
            time_to_first_token,
            cost,
        })) => {
            let now = gateway.now();
            let known = gateway.with_state(|state| {
                let key = state.targets.find_instance(&instance)?;
                let target = state.targets.get(key)?;
                let may_use = target.is_available(now) || target.is_available_while_draining(now);
                may_use.then_some(key)
            });
            // Otherwise this host knows better, or does not know it yet.
            known.map_or(Placed::Unknown, |target| {
                Placed::At(Placement {
                    target,
                    time_to_first_token,
                    cost,
                })
            })
        }
        Ok(Some(Verdict::Full)) => Placed::Full,
        Ok(None) | Err(_) => {
            client
                .choice
                .borrow_mut()
                .record_failure(&name, gateway.now());
            gateway.log.event(&LogEvent::Trouble {
                what: "placer of the region",
                cause: format!("{name} did not answer"),
            });
            Placed::Unknown
        }
    }
}

async fn send(
    client: &PlacementClient,
    address: SocketAddr,
    question: PlacementRequest,
) -> Option<Verdict> {
    let socket = client.socket.get()?;
    let (sender, receiver) = oneshot::channel();
    client.pending.borrow_mut().insert(question.number, sender);
    let bytes = PeerMessage::PlacementRequest(question).encode()?;
    socket.send_to(&bytes, address).await.ok()?;
    receiver.await.ok()
}

/// Decides on the engines of this host's region.
fn decide(
    state: &mut GatewayState,
    options: &PlacementOptions<'_>,
    avoid: &[TargetKey],
    now: Duration,
) -> Placed {
    let GatewayState { targets, rng, .. } = state;
    let may_use = |key: TargetKey, target: &Target| {
        target.locality != Locality::OtherRegion && !avoid.contains(&key)
    };
    place_generation(targets, options, may_use, now, rng).map_or(Placed::Full, Placed::At)
}

/// Answers a question of another host, and counts the work that it is about to send.
pub fn handle_request(gateway: &Gateway, question: &PlacementRequest) -> PlacementResponse {
    let now = gateway.now();
    let demand = question.need;
    let verdict = gateway.with_state(|state| {
        let avoid: Vec<TargetKey> = question
            .avoid
            .iter()
            .filter_map(|instance| state.targets.find_instance(instance))
            .collect();
        let options = PlacementOptions {
            service: &question.service,
            demand,
            home_zone: &question.home,
            max_queue_time: question.patience,
            restart_time: question.repeatable_for,
            cost_jitter: Duration::ZERO,
            remote_partition_host: None,
        };
        let Placed::At(place) = decide(state, &options, &avoid, now) else {
            return Verdict::Full;
        };
        let work = TargetLoad::for_request(
            demand.mean_kv_tokens(),
            demand.prompt_tokens,
            demand.priority_level,
        );
        let targets = &mut state.targets;
        targets.reserve(place.target, question.host, work, now);
        match targets.get(place.target) {
            Some(target) => Verdict::Granted {
                instance: target.entry.instance.clone(),
                time_to_first_token: place.time_to_first_token,
                cost: place.cost,
            },
            None => Verdict::Full,
        }
    });
    PlacementResponse {
        number: question.number,
        verdict,
    }
}
