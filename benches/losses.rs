//! How long a key is unavailable after each kind of loss.
//!
//! `cargo bench --bench losses -- KIND [COUNT]` runs one kind; without a kind
//! it lists them. One key is asked for 1000 times a second; the time that it
//! is unavailable is the longest gap between two answers, less the usual gap.

#[allow(dead_code, missing_docs)]
#[path = "../tests/suite/support/mod.rs"]
mod support;

use emulator::load::{
    self,
    Load,
    Outcome,
    Record,
    Stream, //
};
use rhubarbpick::core::shard;
use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::System;

/// Requests a second on the watched key.
const RATE: f64 = 1000.0;

/// Length of one run of the load, and when the loss comes.
const SPAN_MS: u64 = 3000;
const LOSS_AT: Duration = Duration::from_millis(800);

/// Longest time to get back to a whole system between two losses.
const WHOLE_WITHIN: Duration = Duration::from_secs(20);

const KINDS: [&str; 7] = [
    "endpoint-killed",
    "endpoint-frozen",
    "planner-killed",
    "planner-and-endpoint",
    "zone",
    "planned-move",
    "vm-replaced",
];

struct Loss {
    unavailable_ms: f64,
    not_run: usize,
    unknown: usize,
    writes: u64,
}

fn watched() -> Load {
    Load {
        streams: vec![Stream {
            name: "watched".into(),
            method: "GET".into(),
            prefix: "/lots/".into(),
            suffix: "".into(),
            rate: RATE,
            keys: 1,
            zipf: 0.0,
            body_bytes: 0,
            answer_bytes: 0,
            work_ms: 0,
            straggler_share: 0.0,
            straggler_times: 1.0,
            protected: false,
            bursts: false,
        }],
        burst: None,
        span_ms: SPAN_MS,
        seed: 7,
    }
}

/// Returns the index of the endpoint that owns the watched key.
fn owner(system: &System) -> usize {
    let cell = system.cell();
    let shard = shard::of_key(b"key-0", cell.owners.count());
    let (_, endpoint) = cell.owner(shard).expect("the system is settled");
    endpoint
        .name
        .strip_prefix("server-")
        .unwrap()
        .parse()
        .unwrap()
}

/// Longest time without an answer, in ms, less the usual time between two.
fn longest_gap_ms(records: &[Record]) -> f64 {
    let ran = records
        .iter()
        .filter(|record| record.outcome == Outcome::Ran);
    let mut ends: Vec<u64> = ran
        .map(|record| record.start_us + record.latency_us)
        .collect();
    // A key that does not come back is unavailable to the end.
    ends.push(SPAN_MS * 1000);
    ends.sort_unstable();
    let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(0) as f64 / 1000.0 - 1000.0 / RATE
}

fn cause(system: &mut System, kind: &str) {
    let server = owner(system);
    let planner = system.planner();
    match kind {
        "endpoint-killed" => system.kill_server(server),
        "endpoint-frozen" => system.servers[server].process.freeze(),
        "planner-killed" => system.vms[planner].process.kill(),
        "planner-and-endpoint" => {
            system.vms[planner].process.kill();
            system.kill_server(server);
        }
        "zone" => {
            for index in (0..system.vms.len()).filter(|index| index % 4 == server % 4) {
                system.vms[index].process.kill();
                system.kill_server(index);
            }
        }
        "planned-move" => system.servers[server].process.terminate(),
        "vm-replaced" => {
            let vm = system.renewers(server)[0];
            system.vms[vm].process.terminate();
        }
        _ => unreachable!("kinds are checked before"),
    }
}

/// Starts again what ended, and waits until the system is whole.
fn restore(system: &mut System) {
    for index in 0..system.servers.len() {
        system.servers[index].process.thaw();
        if system.servers[index].process.has_ended() {
            system.restart_server(index);
        }
    }
    for index in 0..system.vms.len() {
        if system.vms[index].process.has_ended() {
            system.restart_vm(index);
        }
    }
    let end = Instant::now() + WHOLE_WITHIN;
    loop {
        thread::sleep(Duration::from_millis(100));
        let cell = system.cell();
        let everyone = cell.endpoints.iter().all(|endpoint| {
            endpoint.renewers.len() == 2 && endpoint.state == rhubarbpick::core::table::Lease::Held
        });
        if everyone && system.is_settled() {
            break;
        }
        assert!(
            Instant::now() < end,
            "the system did not get whole again: {cell:?}"
        );
    }
    system.wait_ready();
    thread::sleep(Duration::from_millis(600));
}

fn one(system: &mut System, kind: &str) -> Loss {
    let before = system.store.calls().writes;
    let load = load::spawn(&system.context, watched(), system.entries());
    thread::sleep(LOSS_AT);
    cause(system, kind);
    let records = async_io::block_on(load.finish(Duration::from_secs(10)));
    let count = |outcome: Outcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    let loss = Loss {
        unavailable_ms: longest_gap_ms(&records),
        not_run: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        writes: system.store.calls().writes - before,
    };
    restore(system);
    loss
}

fn main() {
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| word != "--bench")
        .collect();
    let Some(kind) = words.first().filter(|kind| KINDS.contains(&kind.as_str())) else {
        println!("kinds: {}", KINDS.join(", "));
        return;
    };
    let count: usize = words
        .get(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(50);
    let size = if kind == "zone" { 8 } else { 5 };
    let mut system = support::system("losses")
        .vms(size)
        .servers(size)
        .shards(64)
        .start();
    thread::sleep(Duration::from_secs(1));
    let losses: Vec<Loss> = (0..count).map(|_| one(&mut system, kind)).collect();
    let mut times: Vec<f64> = losses.iter().map(|loss| loss.unavailable_ms).collect();
    times.sort_by(f64::total_cmp);
    let at = |quantile: f64| times[((times.len() - 1) as f64 * quantile).round() as usize];
    let writes: u64 = losses.iter().map(|loss| loss.writes).sum();
    println!(
        "{kind}: {count} losses, unavailable p50 {:.0} ms, p90 {:.0} ms, p99 {:.0} ms, worst {:.0} \
         ms; not run {}, unknown {}; {:.1} updates of the store a loss",
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0),
        losses.iter().map(|loss| loss.not_run).sum::<usize>(),
        losses.iter().map(|loss| loss.unknown).sum::<usize>(),
        writes as f64 / count as f64,
    );
}
