//! The operator's configuration.

/// One route.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub max_attempts: u32,
    pub is_public: bool,
    pub is_resumable: bool,
}

/// Host that all routes belong to.
pub const HOST: &str = "ficu95.example";

/// Key of the only tenant, and the header that carries it.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const AUTHORIZATION: &str = "Bearer xd9dnn2ctnfzs989anu6";

/// Builds the configuration as the operator writes it. Services whose names begin with `llm` are
/// those of model engines.
pub fn config(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    config_with_keys(version, routes, services, &[KEY])
}

/// Like [`config`], with these keys of the tenant.
pub fn config_with_keys(
    version: u64,
    routes: &[Route<'_>],
    services: &[&str],
    keys: &[&str],
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let is_stream = route.kind == "streaming";
            let stream = if is_stream {
                format!(
                    ",\"sticky\":true,\"resumable\":{},\"target_gap_ms\":180",
                    route.is_resumable
                )
            } else {
                String::new()
            };
            format!(
                "{{\"name\":\"{}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{}\",\
                 \"route_kind\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":{},\"priority\":1,\
                 \"service\":\"{}\",\"max_attempts\":{},\"public\":{}{stream}}}",
                route.name,
                route.prefix,
                route.kind,
                route.timeout_ms,
                route.objective_ms,
                route.service,
                route.max_attempts,
                route.is_public,
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            let engine = if name.starts_with("llm") {
                ",\"engine\":{\"slots\":48,\"kv_capacity\":34354,\"kv_bytes\":131072,\
                 \"bandwidth_mbps\":19000.0,\"moves\":false,\"backups\":false,\"stride\":4,\
                 \"most\":12,\"models\":[{\"name\":\"m\"}]}"
            } else {
                ""
            };
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":110,\
                 \"protocol\":\"h1\",\"tls\":false{engine}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{}\"],\
         \"priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        keys.join("\",\"")
    )
}
