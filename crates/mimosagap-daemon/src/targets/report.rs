//! Parses load reports in the Prometheus text format, and the engines' cache events.

use std::time::Duration;

use mimosagap_core::LoadReport;
use mimosagap_types::prelude::*;
use serde::Deserialize;

/// Parses a load report; `None` if it contains no incarnation. Values of a metric with several label
/// sets are added up, apart from the memory usage, of which the highest counts.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // `as` saturates here.
pub fn parse(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport {
        incarnation: Incarnation(0),
        running: 0,
        waiting: 0,
        memory_usage: 0.0,
        kv_capacity_tokens: 0,
        preemptions: 0,
        leaving: false,
        age: Duration::ZERO,
    };
    let mut has_incarnation = false;
    for line in text.lines() {
        let Some((name, labels, value)) = parse_sample(line) else {
            continue;
        };
        let number = value.parse().unwrap_or(0.0_f64);
        match name {
            "vllm:num_requests_running" => report.running += number as u32,
            "vllm:num_requests_waiting" => report.waiting += number as u32,
            "vllm:kv_cache_usage_perc" => report.memory_usage = report.memory_usage.max(number),
            "vllm:num_preemptions_total" => report.preemptions += number as u64,
            "engine_kv_capacity_tokens" => report.kv_capacity_tokens += number as u64,
            "engine_state" if labels.contains("state=\"leaving\"") => {
                report.leaving |= number > 0.0;
            }
            // A float cannot represent every incarnation, so its digits are parsed as an integer.
            "engine_incarnation" => {
                let incarnation = value.parse().unwrap_or(number as u64);
                report.incarnation = Incarnation(incarnation);
                has_incarnation = true;
            }
            _ => {}
        }
    }
    has_incarnation.then_some(report)
}

/// Returns name, labels and value of a sample line; `None` for comments.
fn parse_sample(line: &str) -> Option<(&str, &str, &str)> {
    if line.starts_with('#') {
        return None;
    }
    let (series, rest) = match line.split_once('}') {
        Some((series, rest)) => (series, rest),
        None => line.split_once(' ')?,
    };
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    let value = rest.split_whitespace().next()?;
    Some((name.trim(), labels, value))
}

/// A change in an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvent {
    /// The sequence number: one more than that of the previous event unless events are missing.
    pub sequence: u64,
    /// Whether the blocks were added or evicted.
    #[serde(rename = "type")]
    pub kind: CacheEventKind,
    /// The hashes of the affected blocks.
    #[serde(default)]
    pub block_hashes: Vec<u64>,
}

/// The kinds of cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The blocks are now cached.
    Stored,
    /// The blocks were evicted.
    Removed,
}
