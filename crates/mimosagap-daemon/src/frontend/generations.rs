//! The endpoints of the Responses API: create, resume and cancel.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use mimosagap_core::{Event, Submission, WorkKind};
use mimosagap_types::prelude::*;
use serde_json::{Map, Value, json};

use super::response::{CallerResponse, RefusalResponse, ResponseBody, json_response, set_outcome};
use super::{auth, read_body};
use crate::relay::buffered_response::BufferedResponse;
use crate::relay::generation::{
    self, GenerationRelay, GenerationRequest, ResponseSink, generation_lost_refusal,
};
use crate::relay::output_buffer::OutputBuffer;
use crate::relay::stream_body::StreamBody;
use crate::shared::SharedState;

/// How long the head of a streamed response waits for the first event, so that an early refusal can
/// still set the HTTP status.
const MAX_HEAD_DELAY: Duration = Duration::from_secs(1);

/// Approximate number of input bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Input bytes per block of an engine's prefix cache.
const BLOCK_BYTES: usize = 256;

/// Maximum number of blocks that prefix affinity takes into account.
const MAX_PREFIX_BLOCKS: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

struct ParsedRequest {
    submission: Submission,
    generation_request: GenerationRequest,
    is_stream: bool,
}

/// Handles `POST /v1/responses`.
///
/// # Errors
/// The refusal, unless the stream has started.
pub async fn create(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<CallerResponse, RefusalResponse> {
    let (head, body) = request.into_parts();
    let team = auth::authenticate(shared, &head.headers)
        .map_err(|refusal| RefusalResponse::from(refusal).with_close())?;
    let body = read_body(shared, body).await?;
    let parsed_request = parse_request(&team, &head.headers, &body)?;
    if parsed_request.is_stream {
        create_streamed(shared, parsed_request).await
    } else {
        create_buffered(shared, parsed_request).await
    }
}

fn bad_request(message: impl Into<String>) -> RefusalResponse {
    RefusalResponse::new(RefusalCause::BadRequest, message)
}

fn parse_request(
    team: &TeamName,
    headers: &hyper::HeaderMap,
    body: &[u8],
) -> Result<ParsedRequest, RefusalResponse> {
    let fields: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not a JSON object: {error}")))?;
    let model = match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => ModelName::new(model),
        _ => return Err(bad_request("\"model\" must be the name of a model")),
    };
    let input = match fields.get("input") {
        Some(Value::String(text)) => text.as_bytes().to_vec(),
        Some(items @ Value::Array(_)) => items.to_string().into_bytes(),
        _ => return Err(bad_request("\"input\" must be a text or a list of items")),
    };
    let is_stream = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(value)) => *value,
        Some(_) => return Err(bad_request("\"stream\" must be true or false")),
    };
    let max_tokens = match fields.get("max_output_tokens") {
        None | Some(Value::Null) => None,
        Some(value) => {
            let number = value.as_u64().filter(|number| *number > 0);
            let number = number.and_then(|number| u32::try_from(number).ok());
            let message = "\"max_output_tokens\" must be a whole number above 0";
            Some(number.ok_or_else(|| bad_request(message))?)
        }
    };
    let metadata_class = fields
        .get("metadata")
        .and_then(|metadata| metadata.get("class"));
    let class = auth::request_class(headers, metadata_class.and_then(Value::as_str))?;
    let model_bytes = model.as_str().as_bytes();
    let digest = RequestDigest::of(&[team.as_str().as_bytes(), model_bytes, &input]);
    let prompt_tokens = input.len().div_ceil(BYTES_PER_TOKEN).max(1);
    let work = WorkKind::Generation {
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        max_tokens,
        prefix: prefix_hashes(model_bytes, &input),
        is_buffered: !is_stream,
        model,
    };
    Ok(ParsedRequest {
        submission: Submission {
            team: team.clone(),
            class,
            digest,
            work,
        },
        generation_request: GenerationRequest { fields },
        is_stream,
    })
}

/// Returns the hash of the input up to the end of each whole block, as engines identify the blocks in
/// their cache events: FNV-1a with 64 bits over the model's name, a zero byte and the input.
fn prefix_hashes(model: &[u8], input: &[u8]) -> Vec<u64> {
    let mut hash = fnv1a(fnv1a(FNV_OFFSET, model), &[0]);
    input
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            hash = fnv1a(hash, block);
            hash
        })
        .collect()
}

fn fnv1a(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

async fn create_streamed(
    shared: &Arc<SharedState>,
    parsed_request: ParsedRequest,
) -> Result<CallerResponse, RefusalResponse> {
    let ParsedRequest {
        submission,
        generation_request,
        ..
    } = parsed_request;
    let output = Arc::new(OutputBuffer::new());
    let sink = ResponseSink::Stream(Arc::clone(&output));
    let (team, class) = (submission.team.clone(), submission.class.clone());
    let mut generation_relay = GenerationRelay::new(Arc::clone(shared), team, &class, sink);
    let mut request = shared.requests.open();
    shared.events.send(Event::Submitted {
        ticket: request.ticket,
        submission,
    });
    let relay_output = Arc::clone(&output);
    let relay_shared = Arc::clone(shared);
    let relay_future = async move {
        let serve_future = generation_relay.serve(&mut request, &generation_request);
        let result = tokio::select! {
            biased;
            result = serve_future => result,
            () = relay_output.send_keepalives() => Ok(()),
        };
        if let Err(refusal) = result {
            refuse_stream(&relay_shared, &relay_output, &generation_relay, refusal);
        }
    };
    start_stream(StreamBody::new(Box::pin(relay_future), output)).await
}

fn refuse_stream(
    shared: &SharedState,
    output: &OutputBuffer,
    generation_relay: &GenerationRelay,
    refusal: Refusal,
) {
    output.refuse(refusal, |refusal| {
        let cause = refusal.cause.as_str();
        shared.metrics.refusals.with_label_values(&[cause]).inc();
        generation_relay.failed_event(refusal)
    });
}

async fn start_stream(mut body: StreamBody) -> Result<CallerResponse, RefusalResponse> {
    body.wait_for_output(MAX_HEAD_DELAY).await?;
    let mut response = Response::new(ResponseBody::Relay(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(response)
}

async fn create_buffered(
    shared: &Arc<SharedState>,
    parsed_request: ParsedRequest,
) -> Result<CallerResponse, RefusalResponse> {
    let ParsedRequest {
        submission,
        generation_request,
        ..
    } = parsed_request;
    let sink = ResponseSink::Buffered(BufferedResponse::default());
    let (team, class) = (submission.team.clone(), submission.class.clone());
    let mut generation_relay = GenerationRelay::new(Arc::clone(shared), team, &class, sink);
    let mut request = shared.requests.open();
    shared.events.send(Event::Submitted {
        ticket: request.ticket,
        submission,
    });
    generation_relay
        .serve(&mut request, &generation_request)
        .await?;
    let mut response = json_response(StatusCode::OK, &generation_relay.into_response_json()?);
    set_outcome(response.headers_mut(), RunOutcome::Ran);
    Ok(response)
}

/// Handles `GET /v1/responses/{id}?stream=true&starting_after=N`.
///
/// # Errors
/// The refusal, unless the stream has started.
pub async fn resume(
    shared: &Arc<SharedState>,
    request: &Request<Incoming>,
    id: &str,
) -> Result<CallerResponse, RefusalResponse> {
    let team = auth::authenticate(shared, request.headers())?;
    let resume_token = shared.verify_resume_token(id, &team)?;
    let starting_after = parse_resume_query(request.uri().query().unwrap_or_default())?;
    let output = Arc::new(OutputBuffer::new());
    let sink = ResponseSink::Stream(Arc::clone(&output));
    let class = auth::request_class(request.headers(), None)?;
    let mut generation_relay = GenerationRelay::new(Arc::clone(shared), team, &class, sink);
    let relay_output = Arc::clone(&output);
    let relay_shared = Arc::clone(shared);
    let caller_response_id = id.to_owned();
    let open_request = shared.requests.open();
    let relay_future = async move {
        // Keeps the request open until the relay ends, so that a drain waits for it.
        let _open_request = open_request;
        let resume_future =
            generation_relay.resume(resume_token, &caller_response_id, starting_after);
        let result = tokio::select! {
            biased;
            result = resume_future => result,
            () = relay_output.send_keepalives() => Ok(()),
        };
        if let Err(refusal) = result {
            refuse_stream(&relay_shared, &relay_output, &generation_relay, refusal);
        }
    };
    start_stream(StreamBody::new(Box::pin(relay_future), output)).await
}

/// Parses the sequence number of the last event that the caller has. With `None` the stream starts at
/// its first event.
fn parse_resume_query(query: &str) -> Result<Option<u64>, RefusalResponse> {
    let pairs: Vec<(&str, &str)> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let value = |name| {
        pairs
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| *value)
    };
    if value("stream") != Some("true") {
        return Err(bad_request(
            "a response can only be resumed; add ?stream=true",
        ));
    }
    value("starting_after")
        .map(|text| {
            let message = "\"starting_after\" must be the sequence_number of an event";
            text.parse().map_err(|_| bad_request(message))
        })
        .transpose()
}

/// Handles `POST /v1/responses/{id}/cancel`.
///
/// # Errors
/// The refusal, also if the engine cannot be reached or no longer has the generation.
pub async fn cancel(
    shared: &Arc<SharedState>,
    request: &Request<Incoming>,
    id: &str,
) -> Result<CallerResponse, RefusalResponse> {
    let team = auth::authenticate(shared, request.headers())?;
    let resume_token = shared.verify_resume_token(id, &team)?;
    let lost_refusal = || RefusalResponse::from(generation_lost_refusal());
    let (head, body) =
        generation::cancel_generation(resume_token.target, &resume_token.response_id)
            .await
            .map_err(|_| lost_refusal())?;
    if head.status != StatusCode::OK {
        return Err(lost_refusal());
    }
    let Ok(mut response) = serde_json::from_slice::<Value>(&body) else {
        let body = Full::new(body);
        return Ok(Response::new(ResponseBody::Buffered(body)));
    };
    response["id"] = json!(id);
    Ok(json_response(StatusCode::OK, &response))
}

/// Builds a response with a body that the daemon does not interpret.
#[must_use]
pub fn opaque_response(
    status: StatusCode,
    content_type: Option<HeaderValue>,
    body: Bytes,
) -> CallerResponse {
    let mut response = Response::new(ResponseBody::Buffered(Full::new(body)));
    *response.status_mut() = status;
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
