//! Tests of tickets and of the deduplication of the requests sent with them.

use proptest::prelude::*;
use rhubarbpick::core::{
    table::{
        Incarnation,
        Node, //
    },
    ticket::{
        Answer,
        Deduplicator,
        Disposition,
        Error,
        Outcome,
        Ticket,
        LIFETIME, //
    },
    time::Instant,
};

const SECRET: &[u8] = b"a secret of some length";

fn ticket(number: u64) -> Ticket {
    Ticket {
        home: Node {
            name: "vm-1".into(),
            incarnation: Incarnation(4),
        },
        issued: Instant(1000),
        number,
    }
}

#[test]
fn a_ticket_is_unchanged_by_encoding_and_decoding() {
    let text = ticket(9).sign(SECRET);
    assert_eq!(Ticket::verify(&text, SECRET), Ok(ticket(9)));
}

#[test]
fn a_modified_ticket_is_rejected() {
    let text = ticket(9).sign(SECRET).replace(".9.", ".8.");
    assert_eq!(Ticket::verify(&text, SECRET), Err(Error::Forged));
    let other = ticket(9).sign(b"another secret altogether");
    assert_eq!(Ticket::verify(&other, SECRET), Err(Error::Forged));
}

#[test]
fn an_expired_ticket_is_rejected_even_if_unused() {
    let mut deduplicator = Deduplicator::default();
    let expired_at = Instant(1000).after(LIFETIME);
    assert_eq!(
        deduplicator.begin(&ticket(1), expired_at),
        Err(Error::Expired)
    );
}

#[derive(Clone, Debug)]
enum Action {
    Begin(u64),
    NotRun(u64),
    End(u64, bool),
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (0..6u64).prop_map(Action::Begin),
        (0..6u64).prop_map(Action::NotRun),
        (0..6u64, any::<bool>()).prop_map(|(number, ran)| Action::End(number, ran)),
        (0..400u64).prop_map(Action::Wait),
    ]
}

proptest! {
    /// After a request ran or may have run, no request with the same ticket runs.
    #[test]
    fn no_request_with_the_same_ticket_runs_twice(actions in proptest::collection::vec(action(), 0..60)) {
        let mut deduplicator = Deduplicator::default();
        let mut now = Instant(1000);
        let mut ended = [false; 6];
        let mut running = [false; 6];
        for action in actions {
            match action {
                Action::Wait(seconds) => now = Instant(now.0 + seconds * 1_000_000),
                Action::Begin(number) => {
                    if deduplicator.begin(&ticket(number), now) == Ok(Disposition::Run) {
                        let index = number as usize;
                        prop_assert!(!ended[index] && !running[index]);
                        running[index] = true;
                    }
                }
                Action::NotRun(number) if running[number as usize] => {
                    deduplicator.not_run(number);
                    running[number as usize] = false;
                }
                Action::End(number, ran) if running[number as usize] => {
                    let answer = Answer { status: 200, body: None };
                    deduplicator.end(number, if ran { Outcome::Ran(answer) } else { Outcome::Unknown });
                    running[number as usize] = false;
                    ended[number as usize] = true;
                }
                Action::NotRun(_) | Action::End(..) => {}
            }
        }
    }
}
