//! A misread statement, or an invalid one that is accepted, puts a rule in force that nobody wrote.
//! Every statement must be read exactly, and every invalid line refused with its number.

use std::time::Duration;

use mimosagap_rules::{PlacementWeights, Priority, RoutePolicy, RuleSet};
use mimosagap_types::prelude::*;
use rstest::rstest;

const DIGEST: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn compile(text: &str) -> RuleSet {
    RuleSet::compile(RulesRevision(9), text).expect("the rules are valid")
}

#[test]
fn every_statement_is_read() {
    let text = format!(
        "# Rules of Brandão\n\n\
         team porto token sha256:{DIGEST} # manager: Rui, new office\n\
         limit team porto 2.5 requests/s burst 7 # insurer: policy 12\n\
         share team porto 3 # crew lead: large jobs\n\
         class urgent priority high # manager: Rui\n\
         weigh preemptions 3 stall 1 # manager: late quotes\n\
         route quotes policy two-choices # manager: trial\n\
         memory ceiling 85% # crew lead: stalls\n\
         retry budget 5% # insurer: load\n\
         address lifetime 4 s # crew lead: moves\n\
         queue limit 50 wait 2.5 s # manager: short queues\n\
         keep region quotes norte-a # insurer: data\n\
         drain target 127.0.0.1:8000 # crew lead: broken fan\n\
         refuse team lisboa # manager: unpaid\n\
         unblock {DIGEST} # crew lead: fixed\n"
    );
    let set = compile(&text);
    let team = TeamName::new("porto");
    let digest: RequestDigest = DIGEST.parse().unwrap();
    assert_eq!(set.team_by_token(&digest.0), Some(&team));
    let limit = set.team_limit(&team).unwrap();
    assert_eq!((limit.rate, limit.burst, limit.rule.line), (2.5, 7, 4));
    assert_eq!(limit.rule.asked_by, "insurer: policy 12");
    assert!((set.team_weight(&team) - 3.0).abs() < f64::EPSILON);
    assert_eq!(
        set.class_priority(&ClassName::new("urgent")),
        Priority::High
    );
    assert_eq!(
        set.placement_weights(),
        PlacementWeights {
            preemptions: 3.0,
            stall: 1.0
        }
    );
    assert_eq!(
        set.route_policy(&ModelName::new("quotes")),
        RoutePolicy::TwoChoices
    );
    assert!((set.memory_ceiling().0 - 0.85).abs() < 1e-9);
    assert!((set.retry_fraction() - 0.05).abs() < 1e-9);
    assert_eq!(set.address_lifetime(), Duration::from_secs(4));
    assert_eq!(
        (set.queue_limit().max_length, set.queue_limit().max_wait),
        (50, Duration::from_millis(2_500))
    );
    let (region, rule) = set.required_region(&ModelName::new("quotes")).unwrap();
    assert_eq!((region.as_str(), rule.line), ("norte-a", 13));
    assert!(set.drain_rule(&"127.0.0.1:8000".parse().unwrap()).is_some());
    assert!(set.refusal_rule(&TeamName::new("lisboa")).is_some());
    assert!(set.is_unblocked(&digest));
}

#[rstest]
#[case::unknown_statement("frobnicate everything # manager: x", "unknown statement")]
#[case::no_comment("share team a 1", "no comment")]
#[case::no_role("share team a 1 # Rui: x", "may ask for a rule")]
#[case::no_reason("share team a 1 # manager:", "no reason")]
#[case::zero_share("share team a 0 # manager: x", "a number above 0")]
#[case::negative_rate("limit team a -1 requests/s burst 2 # manager: x", "0 to 1000000")]
#[case::wrong_unit("limit team a 1 requests/min burst 2 # manager: x", "requests/s")]
#[case::zero_burst("limit team a 1 requests/s burst 0 # manager: x", "above 0")]
#[case::percentage("memory ceiling 101% # manager: x", "0% to 100%")]
#[case::short_digest("unblock 0011 # manager: x", "64 hexadecimal digits")]
#[case::host_name("drain target engine-1:80 # manager: x", "an address like")]
#[case::trailing_text("refuse team a b # manager: x", "the end of the statement")]
#[case::infinite_weight("share team a inf # manager: x", "a number")]
fn invalid_line_is_refused_with_its_number(#[case] line: &str, #[case] cause: &str) {
    let text = format!("# heading\nshare team ok 1 # manager: fine\n{line}\n");
    let errors = RuleSet::compile(RulesRevision(1), &text).unwrap_err();
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].line_number, 3);
    let message = errors[0].to_string();
    assert!(message.contains(cause), "{message}");
}

#[test]
fn second_line_on_a_subject_is_refused() {
    let text = "share team a 1 # manager: x\nshare team a 2 # insurer: y\n";
    let errors = RuleSet::compile(RulesRevision(1), text).unwrap_err();
    assert_eq!(errors[0].line_number, 2);
    assert!(errors[0].to_string().contains("line 1"));
}

#[test]
fn oversized_line_and_file_are_refused() {
    let long_line = format!("share team a 1 # manager: {}\n", "x".repeat(600));
    assert!(RuleSet::compile(RulesRevision(1), &long_line).is_err());
    let large_file = "# filler\n".repeat(120_000);
    assert!(RuleSet::compile(RulesRevision(1), &large_file).is_err());
}
