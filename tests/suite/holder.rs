//! Tests of the endpoint's side of the lease protocol.

use emulator::holder::{
    Holder,
    Refusal, //
};
use rhubarbpick::core::{
    renewal::Order,
    table::Incarnation,
    time::Instant,
    token::Token, //
};

const INCARNATION: Incarnation = Incarnation(7);

fn token(version: u64) -> Token {
    Token { epoch: 1, version }
}

fn order(version: u64, stamp_ms: u64, shards: Option<Vec<u32>>) -> Order {
    Order {
        incarnation: INCARNATION,
        token: token(version),
        stamp: stamp_ms * 1000,
        lease_ms: 600,
        shards,
    }
}

fn at(ms: u64) -> Instant {
    Instant(ms * 1000)
}

#[test]
fn a_delayed_order_grants_no_more_time_than_a_punctual_one() {
    let mut holder = Holder::new(INCARNATION);
    holder
        .apply(&order(1, 100, Some(vec![3])), at(100))
        .unwrap();
    holder.apply(&order(1, 200, None), at(900)).unwrap();
    assert_eq!(holder.expires(), at(800));
    assert_eq!(
        holder.begin_work(3, token(1), at(900)),
        Err(Refusal::Expired)
    );
}

#[test]
fn an_order_of_an_older_table_or_for_another_incarnation_is_refused() {
    let mut holder = Holder::new(INCARNATION);
    holder
        .apply(&order(2, 100, Some(vec![3])), at(100))
        .unwrap();
    assert_eq!(
        holder.apply(&order(1, 100, None), at(110)),
        Err(Refusal::StaleToken)
    );
    let mut other = order(3, 100, Some(vec![3]));
    other.incarnation = Incarnation(6);
    assert_eq!(
        holder.apply(&other, at(110)),
        Err(Refusal::WrongIncarnation)
    );
}

#[test]
fn a_request_routed_by_a_table_before_the_shard_was_granted_is_refused() {
    let mut holder = Holder::new(INCARNATION);
    holder
        .apply(&order(2, 100, Some(vec![3])), at(100))
        .unwrap();
    holder
        .apply(&order(4, 100, Some(vec![3, 5])), at(110))
        .unwrap();
    assert!(holder.begin_work(3, token(2), at(120)).is_ok());
    assert_eq!(
        holder.begin_work(5, token(2), at(120)),
        Err(Refusal::StaleToken)
    );
}

#[test]
fn a_revocation_is_settled_only_when_requests_on_the_shard_have_ended() {
    let mut holder = Holder::new(INCARNATION);
    holder
        .apply(&order(1, 100, Some(vec![3])), at(100))
        .unwrap();
    let number = holder.begin_work(3, token(1), at(110)).unwrap();
    holder.apply(&order(2, 100, Some(vec![])), at(120)).unwrap();
    assert_eq!(holder.answer(at(121)).settled, token(1));
    assert!(holder.may_commit(number, at(130)));
    holder.end_work(number);
    assert_eq!(holder.answer(at(131)).settled, token(2));
}

#[test]
fn a_request_started_before_the_grant_expired_takes_no_effect_under_a_new_grant() {
    let mut holder = Holder::new(INCARNATION);
    holder
        .apply(&order(1, 100, Some(vec![3])), at(100))
        .unwrap();
    let number = holder.begin_work(3, token(1), at(110)).unwrap();
    holder
        .apply(&order(3, 5000, Some(vec![5])), at(5000))
        .unwrap();
    assert!(!holder.may_commit(number, at(5001)));
}
