//! Plans and confirms.

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
    let drawn = plan::build(current, &[], None, intent)?;
    plan::confirm(current, &[], intent, &drawn.id, drawn.base, "ana", 5)
}

fn stored(verdict: Outcome) -> Record {
    match verdict {
        Outcome::Store(confirmed) => *confirmed,
        Outcome::AlreadyApplied(version) => panic!("version {version} is in force already"),
    }
}

#[test]
fn of_two_plans_on_one_ground_only_the_first_is_confirmed() {
    let first = stored(confirm(None, &intent()).unwrap());
    let mut left = intent();
    left.slots = 3;
    let mut right = intent();
    right.slots = 4;
    let plan_left = plan::build(Some(&first), &[], None, &left).unwrap();
    let plan_right = plan::build(Some(&first), &[], None, &right).unwrap();
    let verdict = plan::confirm(Some(&first), &[], &left, &plan_left.id, 1, "ana", 6);
    let second = stored(verdict.unwrap());
    let refused = plan::confirm(Some(&second), &[], &right, &plan_right.id, 1, "ivo", 7);
    let expected = Error::BaseChanged {
        drawn: 1,
        current: 2,
    };
    assert_eq!(refused, Err(expected));
}

#[test]
fn a_repeated_confirm_says_that_the_plan_is_in_force() {
    let plan = plan::build(None, &[], None, &intent()).unwrap();
    let verdict = plan::confirm(None, &[], &intent(), &plan.id, 0, "ana", 5);
    let first = stored(verdict.unwrap());
    let again = plan::confirm(Some(&first), &[], &intent(), &plan.id, 0, "ana", 6);
    assert_eq!(again, Ok(Outcome::AlreadyApplied(1)));
}

#[test]
fn another_intent_than_the_planned_one_is_refused() {
    let plan = plan::build(None, &[], None, &intent()).unwrap();
    let mut other = intent();
    other.slots = 9;
    let refused = plan::confirm(None, &[], &other, &plan.id, 0, "ana", 5);
    assert_eq!(refused, Err(Error::Intent));
}

#[test]
fn a_plan_tells_what_changes() {
    let first = stored(confirm(None, &intent()).unwrap());
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
fn a_wrong_intent_is_refused_with_field_and_allowed_values() {
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
