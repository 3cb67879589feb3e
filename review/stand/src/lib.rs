//! Stand-ins for the platform's store, engines, the operator and clients, on loopback addresses
//! and the real clock. Only the standard library is used.

pub mod client;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod json;
pub mod operator;
pub mod record;
pub mod store;

/// Whether the disruption takes place; `TROUBLE=0` runs the case without it.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case with an exit code: 0 held, 1 broken, 2 could not run.
pub fn finish(fleet: &mut gateway::Fleet, record: &record::Record, code: i32, verdict: &str) -> ! {
    record.line(&format!("VERDICT exit={code}: {verdict}"));
    fleet.kill_all();
    println!("exit {code}: {verdict}");
    std::process::exit(code);
}
