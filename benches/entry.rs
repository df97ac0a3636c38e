//! Throughput, latency and CPU time of the router, compared with a plain HTTP
//! forwarder and with direct connections to the endpoint.
//!
//! Run with `cargo bench --bench entry`. Closed-loop callers send small
//! requests to the endpoint directly, through a forwarder that uses the same
//! HTTP stack, and through the router. Several rounds of the three variants are
//! interleaved. The endpoint, the forwarder and the router are separate
//! processes with two worker threads each.

#[allow(dead_code, missing_docs)]
#[path = "../tests/suite/support/mod.rs"]
mod support;

use bytes::Bytes;
use emulator::deployment::free_address;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::{
    header::HOST,
    Request, //
};
use rhubarbpick::{
    core::shard,
    edge::header,
    kernel::{
        http::full,
        pool, //
    },
};
use std::{
    fs,
    net::SocketAddr,
    process::Command,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    measure::processor_seconds,
    process::{
        self,
        Process, //
    },
    System, //
};

/// Number of concurrent callers; each one waits for its response before it sends the next request.
const CALLERS: usize = 32;

/// Duration of a round of one variant.
const ROUND_DURATION: Duration = Duration::from_secs(3);

/// Number of rounds of each variant.
const ROUND_COUNT: usize = 5;

/// A path from the callers to the endpoint, with its measurements.
struct Variant {
    name: &'static str,
    address: SocketAddr,
    /// Process between the callers and the endpoint, whose CPU time is measured.
    process_id: Option<u32>,
    rounds: Vec<Round>,
}

/// Measurements of one round.
struct Round {
    responses: u64,
    cpu_us_per_response: f64,
    latency_ns: Histogram<u64>,
}

fn run_round(system: &System, variant: &Variant) -> Round {
    let pool = pool::open(&system.context, variant.address, CALLERS);
    let cpu_s_before = variant.process_id.map_or(0.0, processor_seconds);
    let end = Instant::now() + ROUND_DURATION;
    let token = system.cell().token;
    let shards = system.cell().owners.count();
    let shard = shard::of_key(b"a", shards).0;
    let callers = (0..CALLERS).map(|_| {
        let pool = std::sync::Arc::clone(&pool);
        system.context.start(async move {
            let mut latency_ns = Histogram::<u64>::new(3).expect("the precision is valid");
            while Instant::now() < end {
                let request = Request::builder()
                    .uri("/lots/a")
                    .header(HOST, "a")
                    .header(header::FENCE, token.to_string())
                    .header(header::SHARD, shard.to_string())
                    .body(full(Bytes::new()))
                    .expect("the request is valid");
                let sent_at = Instant::now();
                let result = pool.send(request, Duration::from_secs(5)).await;
                let Ok(response) = result else { continue };
                let is_success = response.status().is_success();
                if response.into_body().collect().await.is_ok() && is_success {
                    let _ = latency_ns.record(sent_at.elapsed().as_nanos() as u64);
                }
            }
            latency_ns
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut latency_ns = Histogram::<u64>::new(3).expect("the precision is valid");
    for caller in callers {
        let caller_latency_ns = async_io::block_on(caller);
        latency_ns
            .add(caller_latency_ns)
            .expect("the histogram resizes itself");
    }
    let cpu_s = variant.process_id.map_or(0.0, processor_seconds) - cpu_s_before;
    let responses = latency_ns.len();
    Round {
        responses,
        cpu_us_per_response: cpu_s * 1e6 / responses.max(1) as f64,
        latency_ns,
    }
}

fn start_forwarder(system: &System, listen: SocketAddr, target: SocketAddr) -> Process {
    let mut command = Command::new(process::program("emulator"));
    command
        .arg("forward")
        .arg("--listen")
        .arg(listen.to_string());
    command.arg("--to").arg(target.to_string());
    let log = fs::File::create(system.folder.join("forwarder.log"));
    process::start(command, log.expect("the log file can be created"))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let builder = support::system("entry").vms(1).servers(1).without_proxies();
    let system = builder.start();
    let endpoint = system.intent.endpoints[0].address;
    let listen = free_address();
    let forwarder = start_forwarder(&system, listen, endpoint);
    std::thread::sleep(Duration::from_millis(500));
    let mut variants = [
        Variant {
            name: "direct",
            address: endpoint,
            process_id: None,
            rounds: Vec::new(),
        },
        Variant {
            name: "forwarder",
            address: listen,
            process_id: Some(forwarder.id()),
            rounds: Vec::new(),
        },
        Variant {
            name: "router",
            address: system.vms[0].callers,
            process_id: Some(system.vms[0].process.id()),
            rounds: Vec::new(),
        },
    ];
    for _ in 0..ROUND_COUNT {
        for variant in &mut variants {
            let round = run_round(&system, variant);
            variant.rounds.push(round);
        }
    }
    println!(
        "{CALLERS} callers, median of {ROUND_COUNT} rounds of {} s",
        ROUND_DURATION.as_secs()
    );
    for variant in &variants {
        let median_of =
            |value: &dyn Fn(&Round) -> f64| median(variant.rounds.iter().map(value).collect());
        let latency_ms = |quantile: f64| {
            median_of(&|round| round.latency_ns.value_at_quantile(quantile) as f64 / 1e6)
        };
        println!(
            "{:<10} {:>8.0} responses/s, {:>6.1} us CPU time per response, p50 {:.3} ms, p99 {:.3} \
             ms, p99.9 {:.3} ms",
            variant.name,
            median_of(&|round| round.responses as f64 / ROUND_DURATION.as_secs_f64()),
            median_of(&|round| round.cpu_us_per_response),
            latency_ms(0.5),
            latency_ms(0.99),
            latency_ms(0.999),
        );
    }
}
