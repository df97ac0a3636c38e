//! Tests of concurrent changes to the tables and intents of a process.

use rhubarbpick::{
    core::intent::{
        Intent,
        Record, //
    },
    daemon::tables::Tables,
};
use std::{
    sync::{
        Arc,
        Mutex, //
    },
    thread,
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
classes:
  - {name: listing, method: GET, repeatable: true, deadline_ms: 2000}
";

fn record(version: u64) -> Arc<Record> {
    Arc::new(Record {
        version,
        plan: "plan".into(),
        by: "ana".into(),
        time_ms: 0,
        intent: Intent::parse(INTENT).unwrap(),
    })
}

#[test]
fn concurrent_changes_are_reported_in_the_order_of_their_effect() {
    const THREADS: u64 = 4;
    for _ in 0..20 {
        let tables = Tables::default();
        let reported = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for thread in 0..THREADS {
                let (tables, reported) = (&tables, &reported);
                scope.spawn(move || {
                    for step in 0..200 {
                        let version = step * THREADS + thread;
                        let report = || reported.lock().unwrap().push(version);
                        tables.adopt_intent(record(version), report);
                    }
                });
            }
        });
        let reported = reported.into_inner().unwrap();
        assert!(reported.is_sorted(), "{reported:?}");
    }
}
