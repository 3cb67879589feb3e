//! The weight store: downloads that share one rate.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use pico_args::Arguments;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;

use crate::http::{self, Answer, ChannelBody, RunResult, WholeRequest};

const CHUNK_BYTES: u64 = 16 << 10;
const DEFAULT_MODEL_BYTES: u64 = 1 << 20;

struct WeightStore {
    bytes_per_second: u64,
    model_bytes: u64,
    calls: Mutex<BTreeMap<String, u64>>,
    /// When the next chunk may be sent, over all downloads.
    next_chunk: AsyncMutex<Instant>,
}

/// Runs the weight store.
///
/// # Errors
/// If an option is wrong or the address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    let bytes_per_second: u64 = arguments.value_from_str("--bytes-per-second")?;
    let model_bytes = arguments
        .opt_value_from_str("--model-bytes")?
        .unwrap_or(DEFAULT_MODEL_BYTES);
    http::finish_options(arguments)?;
    if bytes_per_second == 0 {
        return Err("--bytes-per-second is 0; give at least 1".into());
    }
    http::run_until_terminated(async move {
        let store = Arc::new(WeightStore {
            bytes_per_second,
            model_bytes,
            calls: Mutex::default(),
            next_chunk: AsyncMutex::new(Instant::now()),
        });
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| {
            let answer = answer(&store, &request);
            async move { answer }
        })
        .await
    })
}

fn answer(store: &Arc<WeightStore>, request: &WholeRequest) -> Answer {
    let path = request.uri().path();
    if request.method() != Method::GET {
        return http::not_found();
    }
    let mut calls = store.calls.lock().unwrap_or_else(PoisonError::into_inner);
    if path == "/control/calls" {
        return http::json(StatusCode::OK, &*calls);
    }
    let Some(model) = path.strip_prefix("/weights/") else {
        return http::not_found();
    };
    *calls.entry(model.to_owned()).or_default() += 1;
    let (sender, body) = ChannelBody::open();
    let store = Arc::clone(store);
    tokio::spawn(async move {
        let mut left = store.model_bytes;
        while left > 0 {
            let size = left.min(CHUNK_BYTES);
            store.pace(size).await;
            let chunk = Bytes::from(vec![0; usize::try_from(size).unwrap_or_default()]);
            if sender.send(Ok(chunk)).await.is_err() {
                return;
            }
            left -= size;
        }
    });
    Ok(Response::new(body))
}

impl WeightStore {
    /// Waits until `size` more bytes are within the rate.
    async fn pace(&self, size: u64) {
        let send_at = {
            let mut next = self.next_chunk.lock().await;
            let start = (*next).max(Instant::now());
            *next = start + Duration::from_micros(size * 1_000_000 / self.bytes_per_second);
            *next
        };
        tokio::time::sleep_until(send_at).await;
    }
}
