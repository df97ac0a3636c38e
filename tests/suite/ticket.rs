//! Tickets and the book of their home.

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
fn a_ticket_survives_the_way_to_the_caller_and_back() {
    let text = ticket(9).sign(SECRET);
    assert_eq!(Ticket::verify(&text, SECRET), Ok(ticket(9)));
}

#[test]
fn a_changed_ticket_is_refused() {
    let text = ticket(9).sign(SECRET).replace(".9.", ".8.");
    assert_eq!(Ticket::verify(&text, SECRET), Err(Error::Forged));
    let other = ticket(9).sign(b"another secret altogether");
    assert_eq!(Ticket::verify(&other, SECRET), Err(Error::Forged));
}

#[test]
fn an_expired_ticket_is_refused_though_it_was_never_used() {
    let mut book = Deduplicator::default();
    let late = Instant(1000).after(LIFETIME);
    assert_eq!(book.begin(&ticket(1), late), Err(Error::Expired));
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
    /// A ticket whose request ran, or may have run, never runs again.
    #[test]
    fn no_ticket_runs_twice(actions in proptest::collection::vec(action(), 0..60)) {
        let mut book = Deduplicator::default();
        let mut now = Instant(1000);
        let mut spent = [false; 6];
        let mut running = [false; 6];
        for action in actions {
            match action {
                Action::Wait(seconds) => now = Instant(now.0 + seconds * 1_000_000),
                Action::Begin(number) => {
                    if book.begin(&ticket(number), now) == Ok(Disposition::Run) {
                        let index = number as usize;
                        prop_assert!(!spent[index] && !running[index]);
                        running[index] = true;
                    }
                }
                Action::NotRun(number) if running[number as usize] => {
                    book.not_run(number);
                    running[number as usize] = false;
                }
                Action::End(number, ran) if running[number as usize] => {
                    let kept = Answer { status: 200, body: None };
                    book.end(number, if ran { Outcome::Ran(kept) } else { Outcome::Unknown });
                    running[number as usize] = false;
                    spent[number as usize] = true;
                }
                Action::NotRun(_) | Action::End(..) => {}
            }
        }
    }
}
