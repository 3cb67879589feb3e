//! Resumes a running generation at another engine.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::request::Continuation;
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::retry_budget::RetryPurpose;
use mimosagap_routing::targets::TargetKey;
use mimosagap_types::prelude::*;
use tokio::time::timeout;

use crate::event_source::{EventSource, SourceItem};
use crate::exchange::{SendOptions, send_request};
use crate::load_reservation::LoadReservation;
use crate::request::RoutedRequest;
use crate::residency;
use crate::standby::{StopOrder, stop_source};
use crate::state::SharedGateway;
use crate::streams::find_engine;

/// The next engine must send its first event within this multiple of the route's latency objective.
/// Callers abandon a stream after a gap of four times the objective, and an engine whose memory is
/// full needs part of that time before it resumes.
const RESUME_TIMEOUT_FACTOR: f64 = 3.5;

/// Limit on the wait of a resumed generation for the rate limit of its next engine.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(500);

/// Time in which an engine that was asked to stop has to do so before the next engine is asked to go
/// on. An engine that reads a long prompt for another request stops late.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Time from the request to the next engine in which the first one has to have stopped. After that
/// the connection to the next engine is closed, and the generation stays. The platform allows that
/// two engines work on one generation for 400 ms, of which the close takes up to 60 ms.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// A generation that was resumed at another engine.
pub struct ResumedStream {
    /// Source of the events after the first item.
    pub source: EventSource,
    /// First item, which is an event with an id.
    pub first_item: SourceItem,
    /// Load of the generation on the engine.
    pub reservation: LoadReservation,
}

/// Handover in progress. Yields `None` if the next engine did not take the generation.
pub type HandoverTask = Pin<Box<dyn Future<Output = Option<ResumedStream>>>>;

/// A request to resume a generation elsewhere.
pub struct HandoverJob {
    /// Gateway that relays the stream.
    pub gateway: SharedGateway,
    /// Request that started the generation.
    pub request: Rc<RoutedRequest>,
    /// What the generation still needs.
    pub demand: GenerationDemand,
    /// Number of this send, starting at 1.
    pub attempt: u32,
    /// Id of the last event that the caller has; 0 if it has none.
    pub last_event_id: u64,
}

/// Resumes a generation at the engine of `reservation`, from the copy `copy_name` if there is one.
pub async fn resume_stream(
    job: HandoverJob,
    reservation: LoadReservation,
    copy_name: Option<String>,
) -> Option<ResumedStream> {
    let gateway = &job.gateway;
    let target = residency::permit_target(gateway, &job.request, reservation.target)?;
    let continuation = Continuation {
        last_event_id: job.last_event_id,
        kv_source: copy_name,
    };
    let options = SendOptions {
        attempt: job.attempt,
        continuation: Some(&continuation),
        max_permit_wait: MAX_RESUME_WAIT,
    };
    let resume = async {
        let exchange = send_request(gateway, &job.request, target, options).await;
        let exchange = exchange
            .ok()
            .filter(|exchange| exchange.head.status.is_success())?;
        let mut source = EventSource::new(exchange);
        match source.next().await {
            // Without a numbered event it is not known that the answer belongs to the stream.
            SourceItem::Event(event) if event.id.is_some() => {
                Some((source, SourceItem::Event(event)))
            }
            // The previous engine may still run the generation.
            SourceItem::Event(_)
            | SourceItem::End
            | SourceItem::Aborted
            | SourceItem::LimitExceeded => None,
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

/// Resumes a generation at the engine that has the copy which its first engine made when it stopped.
pub async fn resume_stopped(job: HandoverJob, order: StopOrder) -> Option<ResumedStream> {
    let copy = order.into_copy(&job.gateway, &job.demand).await?;
    resume_stream(job, copy.reservation, Some(copy.kv_source)).await
}

/// Restarts a generation at another engine of the same version, which reads the prompt again.
pub async fn restart_stream(
    job: HandoverJob,
    version: SoftwareVersion,
    failed: TargetKey,
) -> Option<ResumedStream> {
    let (gateway, request) = (&job.gateway, &job.request);
    let tried = [failed];
    let placement = find_engine(gateway, request, job.demand, Some(&version), &tried).await;
    let placement = placement.ok()?;
    if !gateway.try_spend_retry(request, RetryPurpose::Attempt) {
        return None;
    }
    // An engine that lost the connection may still run the generation.
    let id = &request.head.attempt_id;
    stop_source(gateway, id, failed, placement.target).release(gateway);
    let reservation = LoadReservation::for_stream(
        gateway,
        placement.target.key(),
        &job.demand,
        job.demand.prompt_tokens,
    );
    resume_stream(job, reservation, None).await
}
