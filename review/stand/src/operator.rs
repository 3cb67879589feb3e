//! The operator's configuration, as it lies in the store.

/// Routes: `/triagem/` is a resumable stream, `/orcamento/` one that is not, `/marcacao/` unsafe and
/// `/consulta/` safe. Without `tenants` no request needs a key.
pub fn config(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"triagem","hostname":"ficu95.example","path_prefix":"/triagem/","route_kind":"streaming","timeout_ms":39000,"target_latency_ms":1500,"priority":0,"service":"assistente","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":180}},
{{"name":"orcamento","hostname":"ficu95.example","path_prefix":"/orcamento/","route_kind":"streaming","timeout_ms":39000,"target_latency_ms":1800,"priority":1,"service":"assistente","max_attempts":1,"public":false,"sticky":true,"resumable":false,"target_gap_ms":180}},
{{"name":"marcacao","hostname":"ficu95.example","path_prefix":"/marcacao/","route_kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"agenda","max_attempts":1,"public":false}},
{{"name":"consulta","hostname":"ficu95.example","path_prefix":"/consulta/","route_kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"agenda","max_attempts":2,"public":false}}],
"services":[
{{"name":"assistente","health_path":"/healthz","max_connections":382,"protocol":"h1","tls":false,"engine":{{"slots":48,"kv_capacity":34354,"kv_bytes":131072,"bandwidth_mbps":19000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{{"name":"m"}}]}}}},
{{"name":"agenda","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{tenants}]}}"#
    )
}

/// The same without tenants, with the added route `/avisos/`, which is safe.
pub fn config_with_notices(version: u64) -> String {
    let route = r#"{"name":"avisos","hostname":"ficu95.example","path_prefix":"/avisos/","route_kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"agenda","max_attempts":2,"public":false},"#;
    config(version, "").replacen("\"routes\":[", &format!("\"routes\":[{route}"), 1)
}
