//! Plans and their confirmation.

use rhubarbpick::core::{
    intent::{
        Intent,
        Record, //
    },
    plan::{
        self,
        Error,
        Outcome, //
    },
};

const INTENT: &str = "
service: catalogue
operator: slavonska-bala
prefix: /catalogue/
shards: 64
slots: 2
connections: 110
endpoints:
  - {name: one, address: 127.0.0.1:7001, zone: a}
  - {name: two, address: 127.0.0.1:7002, zone: b}
classes:
  - {name: bid, method: POST, suffix: /bids, protected: true, deadline_ms: 2000}
  - {name: listing, method: GET, repeatable: true, deadline_ms: 2000}
";

fn intent() -> Intent {
    Intent::parse(INTENT).unwrap()
}

fn confirm(current: Option<&Record>, intent: &Intent) -> Result<Outcome, Error> {
    let plan = plan::build(current, &[], None, intent)?;
    plan::confirm(current, &[], intent, &plan.id, plan.base, "ana", 5)
}

fn unwrap_record(outcome: Outcome) -> Record {
    match outcome {
        Outcome::Store(confirmed) => *confirmed,
        Outcome::AlreadyApplied(version) => {
            panic!("the plan was already applied as version {version}")
        }
    }
}

#[test]
fn only_one_of_two_plans_with_the_same_base_is_confirmed() {
    let first = unwrap_record(confirm(None, &intent()).unwrap());
    let mut intent_a = intent();
    intent_a.slots = 3;
    let mut intent_b = intent();
    intent_b.slots = 4;
    let plan_a = plan::build(Some(&first), &[], None, &intent_a).unwrap();
    let plan_b = plan::build(Some(&first), &[], None, &intent_b).unwrap();
    let outcome = plan::confirm(Some(&first), &[], &intent_a, &plan_a.id, 1, "ana", 6);
    let second = unwrap_record(outcome.unwrap());
    let result = plan::confirm(Some(&second), &[], &intent_b, &plan_b.id, 1, "ivo", 7);
    let expected = Error::BaseChanged {
        planned: 1,
        current: 2,
    };
    assert_eq!(result, Err(expected));
}

#[test]
fn repeating_a_confirm_reports_that_the_plan_is_applied() {
    let plan = plan::build(None, &[], None, &intent()).unwrap();
    let outcome = plan::confirm(None, &[], &intent(), &plan.id, 0, "ana", 5);
    let first = unwrap_record(outcome.unwrap());
    let repeated = plan::confirm(Some(&first), &[], &intent(), &plan.id, 0, "ana", 6);
    assert_eq!(repeated, Ok(Outcome::AlreadyApplied(1)));
}

#[test]
fn confirming_an_intent_other_than_the_planned_one_is_refused() {
    let plan = plan::build(None, &[], None, &intent()).unwrap();
    let mut other = intent();
    other.slots = 9;
    let result = plan::confirm(None, &[], &other, &plan.id, 0, "ana", 5);
    assert_eq!(result, Err(Error::Intent));
}

#[test]
fn a_plan_lists_the_changes_and_warnings() {
    let first = unwrap_record(confirm(None, &intent()).unwrap());
    let mut next = intent();
    next.endpoints.remove(0);
    next.connections = 45;
    let plan = plan::build(Some(&first), &[], None, &next).unwrap();
    let lines: Vec<&str> = plan.changes.iter().map(|line| &**line).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    drain endpoint one at 127.0.0.1:7001
    change connections from 110 to 45
    ");
    let warnings: Vec<&str> = plan.warnings.iter().map(|line| &**line).collect();
    insta::assert_snapshot!(
        warnings.join("\n"),
        @"all endpoints are in one availability zone; its loss stops the service"
    );
}

#[test]
fn an_invalid_intent_error_names_the_field_and_the_allowed_values() {
    let text = INTENT.replace("slots: 2", "slots: 0");
    let error = Intent::parse(&text).unwrap_err();
    insta::assert_snapshot!(error, @"slots is 0; allowed is 1 to 1024");
    let text = INTENT.replace("zone: b}", "zone: b, checks_fences: false}");
    let error = Intent::parse(&text).unwrap_err();
    let expected = "endpoints.checks_fences is false; allowed is true for a service with keys";
    assert_eq!(error.to_string(), expected);
    let text = INTENT.replace("slots: 2", "slotz: 2");
    let error = Intent::parse(&text).unwrap_err();
    assert!(error.to_string().contains("slotz"), "{error}");
}
