//! Stand-in for a store of model weights: all downloads share one transfer rate.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use pico_args::Arguments;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;

use crate::http::{self, BufferedRequest, ChannelBody, HandlerResult, RunResult};

const CHUNK_BYTES: u64 = 16 << 10;
const DEFAULT_MODEL_BYTES: u64 = 1 << 20;

struct WeightStore {
    bytes_per_second: u64,
    model_bytes: u64,
    calls_by_model: Mutex<BTreeMap<String, u64>>,
    /// End of the transfer time that all downloads together have reserved.
    next_send_at: AsyncMutex<Instant>,
}

/// Runs the weight store until SIGTERM.
///
/// # Errors
/// If an option is wrong or the address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    let bytes_per_second: u64 = arguments.value_from_str("--bytes-per-second")?;
    let model_bytes = arguments
        .opt_value_from_str("--model-bytes")?
        .unwrap_or(DEFAULT_MODEL_BYTES);
    http::reject_unknown_options(arguments)?;
    if bytes_per_second == 0 {
        return Err("--bytes-per-second is 0; give at least 1".into());
    }
    http::run_until_sigterm(async move {
        let store = Arc::new(WeightStore {
            bytes_per_second,
            model_bytes,
            calls_by_model: Mutex::default(),
            next_send_at: AsyncMutex::new(Instant::now()),
        });
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| {
            let response = handle_request(&store, &request);
            async move { response }
        })
        .await
    })
}

fn handle_request(store: &Arc<WeightStore>, request: &BufferedRequest) -> HandlerResult {
    let path = request.uri().path();
    if request.method() != Method::GET {
        return http::not_found();
    }
    let mut calls_by_model = store
        .calls_by_model
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if path == "/control/calls" {
        return http::json(StatusCode::OK, &*calls_by_model);
    }
    let Some(model) = path.strip_prefix("/weights/") else {
        return http::not_found();
    };
    *calls_by_model.entry(model.to_owned()).or_default() += 1;
    let (sender, body) = ChannelBody::open();
    let store = Arc::clone(store);
    tokio::spawn(async move {
        let mut remaining_bytes = store.model_bytes;
        while remaining_bytes > 0 {
            let chunk_bytes = remaining_bytes.min(CHUNK_BYTES);
            store.wait_for_rate(chunk_bytes).await;
            let chunk = Bytes::from(vec![0; usize::try_from(chunk_bytes).unwrap_or_default()]);
            if sender.send(Ok(chunk)).await.is_err() {
                return;
            }
            remaining_bytes -= chunk_bytes;
        }
    });
    Ok(Response::new(body))
}

impl WeightStore {
    /// Reserves `chunk_bytes` of the shared rate and waits until they may be sent.
    async fn wait_for_rate(&self, chunk_bytes: u64) {
        let send_at = {
            let mut next = self.next_send_at.lock().await;
            let start = (*next).max(Instant::now());
            *next = start + Duration::from_micros(chunk_bytes * 1_000_000 / self.bytes_per_second);
            *next
        };
        tokio::time::sleep_until(send_at).await;
    }
}
