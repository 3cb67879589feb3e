//! Hands a running generation over to another engine.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::request::Continuation;
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::targets::TargetKey;
use tokio::time::timeout;

use crate::event_source::{EventSource, SourceItem};
use crate::exchange::{SendOptions, exchange};
use crate::load_reservation::LoadClaim;
use crate::request::RoutedRequest;
use crate::state::SharedGateway;
use crate::streams::find_place;

/// The engine that takes a run over must send its next event within this many times the route's
/// latency target. Callers leave a stream after a gap of four times the target, and an engine whose
/// memory is full takes some of that time until it goes on.
const PATIENCE: f64 = 3.5;

/// How long both engines may work on a run. The platform allows 400 ms in all, of which the way of
/// the request and of the close take up to 60 ms.
pub const OVERLAP: Duration = Duration::from_millis(250);

/// The run at its next engine.
pub struct Successor {
    /// The rest of its events.
    pub source: EventSource,
    /// What came first.
    pub first: SourceItem,
    /// Its place at the engine.
    pub claim: LoadClaim,
}

/// A run on its way to its next engine. `None` if the engine did not take it.
pub type HandoverTask = Pin<Box<dyn Future<Output = Option<Successor>>>>;

/// A run that is to be handed over.
pub struct HandoverOrder {
    /// The gateway.
    pub gateway: SharedGateway,
    /// The request.
    pub request: Rc<RoutedRequest>,
    /// What the run still needs.
    pub need: GenerationDemand,
    /// The number of this send, from 1.
    pub attempt: u32,
    /// The last event that the caller has.
    pub last_event: u64,
}

/// Goes on at an engine, from a copy there if one is named.
pub async fn hand_over(
    order: HandoverOrder,
    claim: LoadClaim,
    copy: Option<String>,
) -> Option<Successor> {
    let gateway = &order.gateway;
    let continuation = Continuation {
        last_event_id: order.last_event,
        kv_source: copy,
    };
    let options = SendOptions {
        attempt: order.attempt,
        continuation: Some(&continuation),
    };
    let begun = async {
        let exchange = exchange(gateway, &order.request, claim.target, options).await;
        let exchange = exchange.ok().filter(|it| it.head.status.is_success())?;
        let mut source = EventSource::new(exchange);
        match source.next().await {
            // The engine before may still have the run.
            SourceItem::Broken | SourceItem::Endless => None,
            first => Some((source, first)),
        }
    };
    let patience = order.request.route.latency_objective.mul_f64(PATIENCE);
    let (source, first) = timeout(patience, begun).await.ok()??;
    Some(Successor {
        source,
        first,
        claim,
    })
}

/// Goes on at another engine which reads the prompt again, where the route allows it.
pub async fn start_again(order: HandoverOrder, tried: TargetKey) -> Option<Successor> {
    let (gateway, request) = (&order.gateway, &order.request);
    let tried = [tried];
    let place = find_place(gateway, request, order.need, &tried).await;
    let place = place.ok()?;
    if !gateway.try_spend_retry(&request.service) {
        return None;
    }
    let claim = LoadClaim::stream(gateway, place.target, &order.need, order.need.prompt_tokens);
    hand_over(order, claim, None).await
}
