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
use crate::exchange::{SendOptions, send_request};
use crate::load_reservation::LoadReservation;
use crate::request::RoutedRequest;
use crate::state::SharedGateway;
use crate::streams::find_engine;

/// The engine that takes a run over must send its next event within this many times the route's
/// latency target. Callers leave a stream after a gap of four times the target, and an engine whose
/// memory is full takes some of that time until it goes on.
const RESUME_TIMEOUT_FACTOR: f64 = 3.5;

/// How long both engines may work on a run. The platform allows 400 ms in all, of which the way of
/// the request and of the close take up to 60 ms.
pub const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// The run at its next engine.
pub struct ResumedStream {
    /// The rest of its events.
    pub source: EventSource,
    /// What came first.
    pub first_item: SourceItem,
    /// Its place at the engine.
    pub reservation: LoadReservation,
}

/// A run on its way to its next engine. `None` if the engine did not take it.
pub type HandoverTask = Pin<Box<dyn Future<Output = Option<ResumedStream>>>>;

/// A run that is to be handed over.
pub struct HandoverJob {
    /// The gateway.
    pub gateway: SharedGateway,
    /// The request.
    pub request: Rc<RoutedRequest>,
    /// What the run still needs.
    pub demand: GenerationDemand,
    /// The number of this send, from 1.
    pub attempt: u32,
    /// The last event that the caller has.
    pub last_event_id: u64,
}

/// Goes on at an engine, from a copy there if one is named.
pub async fn resume_stream(
    job: HandoverJob,
    reservation: LoadReservation,
    copy_name: Option<String>,
) -> Option<ResumedStream> {
    let gateway = &job.gateway;
    let continuation = Continuation {
        last_event_id: job.last_event_id,
        kv_source: copy_name,
    };
    let options = SendOptions {
        attempt: job.attempt,
        continuation: Some(&continuation),
    };
    let resume = async {
        let exchange = send_request(gateway, &job.request, reservation.target, options).await;
        let exchange = exchange
            .ok()
            .filter(|exchange| exchange.head.status.is_success())?;
        let mut source = EventSource::new(exchange);
        match source.next().await {
            // The engine before may still have the run.
            SourceItem::Broken | SourceItem::Endless => None,
            first_item => Some((source, first_item)),
        }
    };
    let resume_timeout = job
        .request
        .route
        .latency_objective
        .mul_f64(RESUME_TIMEOUT_FACTOR);
    let (source, first_item) = timeout(resume_timeout, resume).await.ok()??;
    Some(ResumedStream {
        source,
        first_item,
        reservation,
    })
}

/// Goes on at another engine which reads the prompt again, where the route allows it.
pub async fn restart_stream(job: HandoverJob, failed: TargetKey) -> Option<ResumedStream> {
    let (gateway, request) = (&job.gateway, &job.request);
    let tried = [failed];
    let placement = find_engine(gateway, request, job.demand, &tried).await;
    let placement = placement.ok()?;
    if !gateway.try_spend_retry(&request.service) {
        return None;
    }
    let reservation = LoadReservation::for_stream(
        gateway,
        placement.target,
        &job.demand,
        job.demand.prompt_tokens,
    );
    resume_stream(job, reservation, None).await
}
