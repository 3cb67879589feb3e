//! The Responses API: create, resume and cancel.

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

use super::answer::{Answer, AnswerBody, Denial, json_answer, set_outcome};
use super::{auth, read_body};
use crate::relay::body::RelayBody;
use crate::relay::generation::{self, Generation, GenerationBody, Sink, generation_lost};
use crate::relay::outbox::Outbox;
use crate::relay::whole::WholeAnswer;
use crate::shared::SharedState;

/// How long the head of a streamed answer waits for the first event, so that an early refusal
/// gets a status of its own.
const HEAD_HOLD: Duration = Duration::from_secs(1);

/// Bytes of input that make about one token.
const TOKEN_BYTES: usize = 4;

/// Bytes of input in one block of an engine's prefix cache.
const BLOCK_BYTES: usize = 256;

/// Blocks considered for prefix affinity.
const MAX_PREFIX_BLOCKS: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

struct ParsedRequest {
    submission: Submission,
    body: GenerationBody,
    is_stream: bool,
}

/// Answers `POST /v1/responses`.
///
/// # Errors
/// The refusal.
pub async fn create(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Answer, Denial> {
    let (head, body) = request.into_parts();
    let team =
        auth::team(shared, &head.headers).map_err(|refusal| Denial::from(refusal).with_close())?;
    let body = read_body(shared, body).await?;
    let parsed = parse(&team, &head.headers, &body)?;
    if parsed.is_stream {
        stream(shared, parsed).await
    } else {
        whole(shared, parsed).await
    }
}

fn bad_request(message: impl Into<String>) -> Denial {
    Denial::new(RefusalCause::BadRequest, message)
}

fn parse(
    team: &TeamName,
    headers: &hyper::HeaderMap,
    body: &[u8],
) -> Result<ParsedRequest, Denial> {
    let fields: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not a JSON object: {error}")))?;
    let model = match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => ModelName::new(model),
        _ => return Err(bad_request("\"model\" must be the name of a model")),
    };
    let input = match fields.get("input") {
        Some(Value::String(text)) => text.as_bytes().to_vec(),
        Some(list @ Value::Array(_)) => list.to_string().into_bytes(),
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
    let metadata = fields
        .get("metadata")
        .and_then(|metadata| metadata.get("class"));
    let class = auth::class(headers, metadata.and_then(Value::as_str))?;
    let name = model.as_str().as_bytes();
    let digest = RequestDigest::of(&[team.as_str().as_bytes(), name, &input]);
    let prompt_tokens = input.len().div_ceil(TOKEN_BYTES).max(1);
    let work = WorkKind::Generation {
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        max_tokens,
        prefix: prefix_hashes(name, &input),
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
        body: GenerationBody { fields },
        is_stream,
    })
}

/// FNV-1a (64 bits) over the model's name, a zero byte and the input, read after each whole block,
/// as engines name the blocks in their cache events.
fn prefix_hashes(model: &[u8], input: &[u8]) -> Vec<u64> {
    let mut hash = fnv(fnv(FNV_OFFSET, model), &[0]);
    input
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            hash = fnv(hash, block);
            hash
        })
        .collect()
}

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

async fn stream(shared: &Arc<SharedState>, parsed: ParsedRequest) -> Result<Answer, Denial> {
    let ParsedRequest {
        submission, body, ..
    } = parsed;
    let outbox = Arc::new(Outbox::new());
    let sink = Sink::Stream(Arc::clone(&outbox));
    let (team, class) = (submission.team.clone(), submission.class.clone());
    let mut generation = Generation::new(Arc::clone(shared), team, &class, sink);
    let mut request = shared.requests.open();
    shared.events.send(Event::Submitted {
        ticket: request.ticket,
        submission,
    });
    let relay_outbox = Arc::clone(&outbox);
    let counted = Arc::clone(shared);
    let relay = async move {
        let served = generation.serve(&mut request, &body);
        let result = tokio::select! {
            biased;
            result = served => result,
            () = relay_outbox.keep_alive() => Ok(()),
        };
        if let Err(refusal) = result {
            refuse_stream(&counted, &relay_outbox, &generation, refusal);
        }
    };
    start_stream(RelayBody::new(Box::pin(relay), outbox)).await
}

fn refuse_stream(shared: &SharedState, outbox: &Outbox, generation: &Generation, refusal: Refusal) {
    outbox.refuse(refusal, |refusal| {
        let cause = refusal.cause.as_str();
        shared.metrics.refusals.with_label_values(&[cause]).inc();
        generation.failure_event(refusal)
    });
}

async fn start_stream(mut body: RelayBody) -> Result<Answer, Denial> {
    body.first(HEAD_HOLD).await?;
    let mut answer = Response::new(AnswerBody::Relay(body));
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(answer)
}

async fn whole(shared: &Arc<SharedState>, parsed: ParsedRequest) -> Result<Answer, Denial> {
    let ParsedRequest {
        submission, body, ..
    } = parsed;
    let sink = Sink::Whole(WholeAnswer::default());
    let (team, class) = (submission.team.clone(), submission.class.clone());
    let mut generation = Generation::new(Arc::clone(shared), team, &class, sink);
    let mut request = shared.requests.open();
    shared.events.send(Event::Submitted {
        ticket: request.ticket,
        submission,
    });
    generation.serve(&mut request, &body).await?;
    let mut answer = json_answer(StatusCode::OK, &generation.into_answer()?);
    set_outcome(answer.headers_mut(), RunOutcome::Ran);
    Ok(answer)
}

/// Answers `GET /v1/responses/{id}?stream=true&starting_after=N`.
///
/// # Errors
/// The refusal.
pub async fn resume(
    shared: &Arc<SharedState>,
    request: &Request<Incoming>,
    id: &str,
) -> Result<Answer, Denial> {
    let team = auth::team(shared, request.headers())?;
    let key = shared.verify_resume_token(id, &team)?;
    let after = parse_resume_query(request.uri().query().unwrap_or_default())?;
    let outbox = Arc::new(Outbox::new());
    let sink = Sink::Stream(Arc::clone(&outbox));
    let class = auth::class(request.headers(), None)?;
    let mut generation = Generation::new(Arc::clone(shared), team, &class, sink);
    let relay_outbox = Arc::clone(&outbox);
    let counted = Arc::clone(shared);
    let text = id.to_owned();
    let open = shared.requests.open();
    let relay = async move {
        // Counts as a request in progress, so that a drain waits for it.
        let _open = open;
        let resumed = generation.resume(key, &text, after);
        let result = tokio::select! {
            biased;
            result = resumed => result,
            () = relay_outbox.keep_alive() => Ok(()),
        };
        if let Err(refusal) = result {
            refuse_stream(&counted, &relay_outbox, &generation, refusal);
        }
    };
    start_stream(RelayBody::new(Box::pin(relay), outbox)).await
}

/// The last sequence number that the caller has; without one the stream starts at its first event.
fn parse_resume_query(query: &str) -> Result<Option<u64>, Denial> {
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

/// Answers `POST /v1/responses/{id}/cancel`.
///
/// # Errors
/// The refusal.
pub async fn cancel(
    shared: &Arc<SharedState>,
    request: &Request<Incoming>,
    id: &str,
) -> Result<Answer, Denial> {
    let team = auth::team(shared, request.headers())?;
    let key = shared.verify_resume_token(id, &team)?;
    let lost = || Denial::from(generation_lost());
    let (head, body) = generation::cancel(key.target, &key.response_id)
        .await
        .map_err(|_| lost())?;
    if head.status != StatusCode::OK {
        return Err(lost());
    }
    let Ok(mut response) = serde_json::from_slice::<Value>(&body) else {
        let body = Full::new(body);
        return Ok(Response::new(AnswerBody::Whole(body)));
    };
    response["id"] = json!(id);
    Ok(json_answer(StatusCode::OK, &response))
}

/// An answer with an opaque body.
#[must_use]
pub fn opaque_answer(status: StatusCode, kind: Option<HeaderValue>, body: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Full::new(body)));
    *answer.status_mut() = status;
    if let Some(kind) = kind {
        answer.headers_mut().insert(CONTENT_TYPE, kind);
    }
    answer
}
