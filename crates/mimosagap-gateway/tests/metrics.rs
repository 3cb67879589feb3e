//! Values of the metrics and limits on the number of series.

use std::time::Duration;

use mimosagap_gateway::metrics::{GatewayMetrics, LabelLimit};

fn encoded_text(metrics: &GatewayMetrics) -> String {
    let text = metrics.encode().expect("metrics can be written");
    String::from_utf8(text).expect("metrics are text")
}

#[test]
fn values_beyond_the_label_limit_share_one_label() {
    let limit = LabelLimit::new(2);
    assert_eq!(
        ["a", "b", "c", "a"].map(|value| limit.label(value)),
        ["a", "b", "other", "a"]
    );
}

/// A large deployment has 1,100 teams, and configurations add routes all day.
#[test]
fn the_number_of_series_is_bounded() {
    let metrics = GatewayMetrics::new().expect("names differ");
    for number in 0..1_100 {
        let (route, team) = (format!("r{}", number % 300), format!("t{number}"));
        metrics.observe_response(&route, &team, "200", Duration::from_millis(70));
        metrics.observe_longest_gap(&route, Duration::from_millis(70));
        metrics.observe_wait(&route, Duration::from_millis(70));
    }
    let text = encoded_text(&metrics);
    let series = text.lines().filter(|line| line.contains("_count{"));
    // At most 33 routes by 65 teams, and 33 routes each in two more histograms.
    let series = series.count();
    assert!(series <= 33 * 65 + 66, "{series} histograms");
    assert!(
        text.contains("team=\"t5\""),
        "the first teams have their own"
    );
    assert!(text.len() < 4 << 20, "{} bytes", text.len());
}

#[test]
fn gauges_are_refreshed_on_a_scrape() {
    let metrics = GatewayMetrics::new().expect("names differ");
    metrics.refresh_gauges(Duration::from_millis(1_234));
    metrics.count_retry(true);
    let text = encoded_text(&metrics);
    assert!(
        text.contains("mimosagap_config_age_milliseconds 1234"),
        "{text}"
    );
    assert!(
        text.contains("mimosagap_repeats_total{result=\"allowed\"} 1"),
        "{text}"
    );
    assert!(!text.contains("mimosagap_memory_bytes 0\n"), "{text}");
}

#[test]
fn the_memory_of_requests_has_a_series_for_each_part() {
    let metrics = GatewayMetrics::new().expect("names differ");
    metrics.request_memory.set_bytes("reading", 4_096);
    metrics.request_memory.set_connections("callers", 7);
    let text = encoded_text(&metrics);
    for line in [
        "mimosagap_request_memory_bytes{part=\"reading\"} 4096",
        "mimosagap_client_connections{listener=\"callers\"} 7",
    ] {
        assert!(text.contains(line), "{text}");
    }
}

/// Targets come and go, and one that left while it named a limit must not keep its series.
#[test]
fn only_rate_limits_in_force_have_a_series() {
    let metrics = GatewayMetrics::new().expect("names differ");
    let limits = |limits: &[(&str, f64)]| {
        let limits = limits
            .iter()
            .map(|(name, rate)| ((*name).to_owned(), *rate));
        metrics.target_signals.set_limits(limits);
        let text = encoded_text(&metrics);
        let series = text
            .lines()
            .filter(|line| line.starts_with("mimosagap_target_rate_limit{"));
        series.map(str::to_owned).collect::<Vec<_>>()
    };
    assert_eq!(limits(&[("i-1", 3.7), ("i-2", 2.0)]).len(), 2);
    assert_eq!(
        limits(&[("i-2", 4.0)]),
        [r#"mimosagap_target_rate_limit{target="i-2"} 4"#]
    );
}
