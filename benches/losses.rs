//! How long a key is unavailable after a failure or a planned change.
//!
//! `cargo bench --bench losses -- KIND [COUNT]` injects the fault KIND COUNT
//! times, by default 50 times; without KIND it lists the kinds. The load
//! requests a single key 1000 times per second. The key counts as unavailable
//! for the longest interval between two responses, minus the mean interval
//! between two requests.

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

/// Requests per second for the key.
const REQUESTS_PER_S: f64 = 1000.0;

/// Duration of the load of one run, in milliseconds.
const LOAD_DURATION_MS: u64 = 3000;

/// Time from the start of the load to the fault.
const FAULT_DELAY: Duration = Duration::from_millis(800);

/// Maximum time that the system may take to recover between two runs.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Faults that can be injected, as named on the command line.
const KINDS: [&str; 7] = [
    "endpoint-killed",
    "endpoint-frozen",
    "planner-killed",
    "planner-and-endpoint",
    "zone",
    "planned-move",
    "vm-replaced",
];

/// Measurements of one run.
struct Run {
    unavailable_ms: f64,
    /// Number of requests that were not executed.
    not_run: usize,
    /// Number of requests that may or may not have been executed.
    unknown: usize,
    /// Number of updates of the store.
    writes: u64,
}

fn single_key_load() -> Load {
    Load {
        streams: vec![Stream {
            name: "watched".into(),
            method: "GET".into(),
            prefix: "/lots/".into(),
            suffix: "".into(),
            rate: REQUESTS_PER_S,
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
        span_ms: LOAD_DURATION_MS,
        seed: 7,
    }
}

/// Returns the index of the endpoint that owns the requested key.
fn owner_index(system: &System) -> usize {
    let table = system.cell();
    let shard = shard::of_key(b"key-0", table.owners.count());
    let (_, endpoint) = table
        .owner(shard)
        .expect("every shard has an owner before the fault");
    endpoint
        .name
        .strip_prefix("server-")
        .unwrap()
        .parse()
        .unwrap()
}

/// Returns the longest interval between two responses, minus the mean interval between two
/// requests, in milliseconds.
fn unavailable_ms(records: &[Record]) -> f64 {
    let ran = records
        .iter()
        .filter(|record| record.outcome == Outcome::Ran);
    let mut received_us: Vec<u64> = ran
        .map(|record| record.start_us + record.latency_us)
        .collect();
    // A key that does not recover counts as unavailable until the end of the load.
    received_us.push(LOAD_DURATION_MS * 1000);
    received_us.sort_unstable();
    let gaps = received_us.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(0) as f64 / 1000.0 - 1000.0 / REQUESTS_PER_S
}

fn inject_fault(system: &mut System, kind: &str) {
    let server = owner_index(system);
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
        _ => unreachable!("the kind is checked against KINDS on startup"),
    }
}

/// Resumes frozen endpoints, restarts ended processes and waits until the system has recovered.
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
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        thread::sleep(Duration::from_millis(100));
        let table = system.cell();
        let all_renewed = table.endpoints.iter().all(|endpoint| {
            endpoint.renewers.len() == 2 && endpoint.state == rhubarbpick::core::table::Lease::Held
        });
        if all_renewed && system.is_settled() {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "the system did not recover within {RECOVERY_TIMEOUT:?} after the fault: {table:?}"
        );
    }
    system.wait_ready();
    thread::sleep(Duration::from_millis(600));
}

fn measure(system: &mut System, kind: &str) -> Run {
    let writes_before = system.store.calls().writes;
    let load = load::spawn(&system.context, single_key_load(), system.entries());
    thread::sleep(FAULT_DELAY);
    inject_fault(system, kind);
    let records = async_io::block_on(load.finish(Duration::from_secs(10)));
    let count = |outcome: Outcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    let run = Run {
        unavailable_ms: unavailable_ms(&records),
        not_run: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        writes: system.store.calls().writes - writes_before,
    };
    restore(system);
    run
}

fn main() {
    let arguments: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench")
        .collect();
    let Some(kind) = arguments
        .first()
        .filter(|kind| KINDS.contains(&kind.as_str()))
    else {
        println!(
            "usage: cargo bench --bench losses -- KIND [COUNT]; kinds: {}",
            KINDS.join(", ")
        );
        return;
    };
    let count: usize = arguments
        .get(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(50);
    let vm_count = if kind == "zone" { 8 } else { 5 };
    let mut system = support::system("losses")
        .vms(vm_count)
        .servers(vm_count)
        .shards(64)
        .start();
    thread::sleep(Duration::from_secs(1));
    let runs: Vec<Run> = (0..count).map(|_| measure(&mut system, kind)).collect();
    let mut unavailable_ms: Vec<f64> = runs.iter().map(|run| run.unavailable_ms).collect();
    unavailable_ms.sort_by(f64::total_cmp);
    let quantile_ms = |quantile: f64| {
        unavailable_ms[((unavailable_ms.len() - 1) as f64 * quantile).round() as usize]
    };
    let writes: u64 = runs.iter().map(|run| run.writes).sum();
    println!(
        "{kind}: {count} runs, unavailable p50 {:.0} ms, p90 {:.0} ms, p99 {:.0} ms, max {:.0} \
         ms; not run {}, unknown {}; {:.1} store updates per run",
        quantile_ms(0.5),
        quantile_ms(0.9),
        quantile_ms(0.99),
        quantile_ms(1.0),
        runs.iter().map(|run| run.not_run).sum::<usize>(),
        runs.iter().map(|run| run.unknown).sum::<usize>(),
        writes as f64 / count as f64,
    );
}
