//! Resource use as a function of the size of the system; the basis of
//! `docs/CAPACITY.md`.
//!
//! `cargo bench --bench slopes` prints for each quantity the value measured at
//! each size, a least-squares line and the largest absolute residual.

#[allow(dead_code, missing_docs)]
#[path = "../tests/suite/support/mod.rs"]
mod support;

use emulator::store::Calls;
use rhubarbpick::{
    core::{
        intent::{
            Class,
            Intent,
            Record, //
        },
        membership::{
            Peer,
            View, //
        },
        planner::{
            self,
            Commitment,
            Inputs,
            Observation, //
        },
        renewal::{
            Promise,
            Report, //
        },
        shard,
        table::{
            Endpoint,
            Incarnation,
            Index,
            Lease,
            Node,
            Owners,
            Table, //
        },
        time::Instant,
        token::Token,
    },
    edge::peer::{
        Heartbeat,
        Inventory,
        Replica,
        Version, //
    },
    kernel::wire,
};
use std::{
    fs,
    hint::black_box,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    thread,
    time::{
        self,
        Duration, //
    },
};
use support::{
    measure::processor_seconds,
    System, //
};

/// How long the resource use of an idle system is measured.
const IDLE_DURATION: Duration = Duration::from_secs(5);

/// Value measured at one size.
struct Point {
    size: f64,
    value: f64,
}

/// Prints the measurements and the least-squares line through them.
fn print_fit(name: &str, unit: &str, points: &[Point]) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let slope = covariance / variance;
    let intercept = mean_value - slope * mean_size;
    let max_residual = points
        .iter()
        .map(|point| (intercept + slope * point.size - point.value).abs())
        .fold(0.0, f64::max);
    let measured: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {:.4}", point.size, point.value))
        .collect();
    println!("{name} [{unit}]\n  measured {}", measured.join(", "));
    println!("  line {intercept:.4} + {slope:.6} x size, largest residual {max_residual:.4}");
}

/// Returns the time per call, in microseconds: the minimum of five runs of `calls` calls each.
fn min_call_us(calls: u32, mut call: impl FnMut()) -> f64 {
    let mut min_us = f64::MAX;
    for _ in 0..5 {
        let start = time::Instant::now();
        for _ in 0..calls {
            call();
        }
        min_us = min_us.min(start.elapsed().as_secs_f64() * 1e6 / f64::from(calls));
    }
    min_us
}

fn node(index: usize) -> Node {
    Node {
        name: format!("vm-{index:05}").into(),
        incarnation: Incarnation(1_796_356_402_827_000 + index as u64),
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(
        Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8).into(),
        7000,
    )
}

fn table(shards: u32, endpoints: usize) -> Table {
    let table_endpoints = (0..endpoints).map(|index| Endpoint {
        name: format!("catalogue-{index:05}").into(),
        address: address(index),
        zone: format!("zone-{}", index % 6).into(),
        state: Lease::Held,
        incarnation: Incarnation(1_796_356_402_827_000),
        renewers: vec![node(index % 8), node((index + 1) % 8)],
        retired: Vec::new(),
    });
    let mut owners = Owners::new(shards);
    for index in 0..shards {
        let owner = Index((index as usize % endpoints) as u16);
        owners.set(shard::Shard(index), Some(owner));
    }
    Table {
        name: "catalogue".into(),
        token: Token {
            epoch: 3,
            version: 70,
        },
        write_id: 1,
        planner: node(0),
        intent: 1,
        endpoints: table_endpoints.collect(),
        owners,
        transits: Vec::new(),
        trail: Vec::new(),
        trail_paged: 0,
    }
}

fn intent_record(table: &Table) -> Record {
    let endpoints = table
        .endpoints
        .iter()
        .map(|endpoint| rhubarbpick::core::intent::Endpoint {
            name: endpoint.name.clone(),
            address: endpoint.address,
            zone: endpoint.zone.clone(),
            checks_fences: true,
        });
    Record {
        version: 1,
        plan: "p".into(),
        by: "o".into(),
        time_ms: 0,
        intent: Intent {
            service: "catalogue".into(),
            operator: "o".into(),
            prefix: "/catalogue/".into(),
            shards: table.owners.count(),
            slots: 2,
            connections: 110,
            endpoints: endpoints.collect(),
            classes: vec![Class {
                name: "c".into(),
                method: "GET".into(),
                suffix: "".into(),
                protected: false,
                repeatable: true,
                deadline_ms: 1000,
                rank: 0,
            }],
        },
    }
}

/// Plans the loss of a sixth of the endpoints, for which all renewers have promised to stop, and
/// returns the size of the next table in bytes.
fn plan_zone_loss(table: &Table, record: &Record, view: &View) -> usize {
    let now = Instant(100_000_000);
    let is_lost = |index: Index| usize::from(index.0) % 6 == 0;
    let mut reports = Vec::new();
    let mut stop_promises = Vec::new();
    for (index, endpoint) in table.indexed_endpoints() {
        for renewer in &endpoint.renewers {
            reports.push(Observation {
                node: renewer.clone(),
                report: Report {
                    endpoint: index,
                    incarnation: endpoint.incarnation,
                    acked: table.token,
                    settled: table.token,
                    silent: is_lost(index),
                    leaving: false,
                    replaced_by: None,
                },
            });
            if is_lost(index) {
                stop_promises.push(Commitment {
                    node: renewer.clone(),
                    promise: Promise {
                        endpoint: index,
                        incarnation: endpoint.incarnation,
                        age_us: Some(700_000),
                    },
                    received: now,
                });
            }
        }
    }
    let inputs = Inputs {
        now,
        wall_clock_ms: 0,
        write_id: 2,
        view,
        may_suspect_peers: true,
        intent: record,
        reports: &reports,
        stop_promises: &stop_promises,
        probes: &[],
    };
    let next = planner::decide(table, &inputs)
        .next
        .expect("the loss of endpoints changes the table");
    wire::encode(&next).len()
}

fn peer(index: usize) -> Peer {
    Peer {
        node: node(index),
        address: address(index),
        zone: format!("zone-{}", index % 6).into(),
        leaving: false,
    }
}

fn view(members: usize) -> View {
    let mut view = View::new(peer(0));
    for index in 1..members {
        view.record_heartbeat(peer(index), Instant(100_000_000));
    }
    view
}

/// Measures single functions by number of shards, endpoints and members, without any processes.
fn measure_functions() {
    let sizes = [4096u32, 65_536, 262_144];
    let tables: Vec<Table> = sizes.iter().map(|&size| table(size, 16)).collect();
    let point = |size: u32, value: f64| Point {
        size: f64::from(size),
        value,
    };
    let pairs = || sizes.iter().copied().zip(&tables);
    let bytes = pairs().map(|(size, table)| point(size, wire::encode(table).len() as f64));
    print_fit(
        "size of a stored table by shards, 16 endpoints",
        "bytes",
        &bytes.collect::<Vec<_>>(),
    );
    let encode = pairs().map(|(size, table)| {
        point(
            size,
            min_call_us(20, || drop(black_box(wire::encode(table)))),
        )
    });
    print_fit(
        "time to encode a table by shards, 16 endpoints",
        "us",
        &encode.collect::<Vec<_>>(),
    );
    let decode = pairs().map(|(size, table)| {
        let encoded = wire::encode(table);
        point(
            size,
            min_call_us(20, || drop(black_box(wire::decode::<Table>(&encoded)))),
        )
    });
    print_fit(
        "time to decode a table by shards, 16 endpoints",
        "us",
        &decode.collect::<Vec<_>>(),
    );
    let lookup = pairs().map(|(size, table)| {
        let mut key = 0u64;
        let lookup_us = min_call_us(200_000, || {
            key += 1;
            let shard = shard::of_key(&key.to_le_bytes(), table.owners.count());
            black_box(table.owner(shard));
        });
        point(size, lookup_us * 1000.0)
    });
    print_fit(
        "time to look up the owner of a key by shards, 16 endpoints",
        "ns",
        &lookup.collect::<Vec<_>>(),
    );
    let view = view(8);
    let plan = pairs().map(|(size, table)| {
        let intent = intent_record(table);
        let plan_us = min_call_us(5, || {
            black_box(plan_zone_loss(table, &intent, &view));
        });
        point(size, plan_us)
    });
    print_fit(
        "time to plan the loss of an availability zone by shards, 16 endpoints",
        "us",
        &plan.collect::<Vec<_>>(),
    );

    let counts = [16usize, 128, 1024];
    let tables: Vec<Table> = counts.iter().map(|&count| table(16_384, count)).collect();
    let pairs = || counts.iter().copied().zip(&tables);
    let point = |size: usize, value: f64| Point {
        size: size as f64,
        value,
    };
    let bytes = pairs().map(|(size, table)| point(size, wire::encode(table).len() as f64));
    print_fit(
        "size of a stored table by endpoints, 16384 shards",
        "bytes",
        &bytes.collect::<Vec<_>>(),
    );
    let plan = pairs().map(|(size, table)| {
        let intent = intent_record(table);
        let plan_us = min_call_us(1, || {
            black_box(plan_zone_loss(table, &intent, &view));
        });
        point(size, plan_us)
    });
    print_fit(
        "time to plan the loss of an availability zone by endpoints, 16384 shards",
        "us",
        &plan.collect::<Vec<_>>(),
    );
    let members = [10usize, 100, 1000];
    let heartbeats = members.iter().map(|&count| {
        let heartbeat = Heartbeat {
            from: peer(0),
            digest: u64::MAX,
            lists: Some(Inventory {
                peers: (1..count).map(peer).collect(),
                tables: vec![replica(); 8],
                intents: vec![version(); 8],
            }),
            reports: None,
        };
        point(count, wire::encode(&heartbeat).len() as f64)
    });
    let heartbeats: Vec<Point> = heartbeats.collect();
    print_fit(
        "size of a heartbeat with lists by members, 8 services",
        "bytes",
        &heartbeats,
    );
}

fn replica() -> Replica {
    Replica {
        cell: "catalogue".into(),
        token: Token {
            epoch: 3,
            version: 70,
        },
    }
}

fn version() -> Version {
    Version {
        service: "catalogue".into(),
        version: 5,
    }
}

/// Resource use of a system that receives no requests.
struct Usage {
    /// CPU use of the router process of a VM, in percent of a core.
    cpu_percent: f64,
    /// Resident memory of the router process of a VM.
    memory_kb: f64,
    /// Traffic on the peer listener of a VM, in both directions.
    peer_bytes_per_s: f64,
    /// Traffic of an endpoint, in both directions; without requests, it consists of orders.
    order_bytes_per_s: f64,
    /// Calls of all VMs to the store.
    store_calls_per_s: f64,
}

/// Returns the resident memory of a process, or 0 if it cannot be read.
fn memory_kb(id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kilobytes = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    kilobytes.unwrap_or(0.0)
}

fn call_count(calls: Calls) -> f64 {
    (calls.reads + calls.writes + calls.watches) as f64
}

fn measure_idle(system: &System) -> Usage {
    thread::sleep(Duration::from_secs(1));
    let ids: Vec<u32> = system.vms.iter().map(|vm| vm.process.id()).collect();
    let cpu_s = || ids.iter().map(|&id| processor_seconds(id)).sum::<f64>();
    let peer_bytes = || {
        system
            .vms
            .iter()
            .map(|vm| vm.peers.byte_count())
            .sum::<u64>() as f64
    };
    let order_bytes = || {
        system
            .servers
            .iter()
            .map(|server| server.route.byte_count())
            .sum::<u64>() as f64
    };
    let before = (
        cpu_s(),
        peer_bytes(),
        order_bytes(),
        call_count(system.store.calls()),
    );
    thread::sleep(IDLE_DURATION);
    let seconds = IDLE_DURATION.as_secs_f64();
    let vms = ids.len() as f64;
    Usage {
        cpu_percent: (cpu_s() - before.0) / seconds / vms * 100.0,
        memory_kb: ids.iter().map(|&id| memory_kb(id)).sum::<f64>() / vms,
        peer_bytes_per_s: (peer_bytes() - before.1) / seconds / vms,
        order_bytes_per_s: (order_bytes() - before.2) / seconds / system.servers.len() as f64,
        store_calls_per_s: (call_count(system.store.calls()) - before.3) / seconds,
    }
}

/// Returns the time from the response to a confirmation until every VM has logged that it adopted
/// the new intent, in milliseconds. Returns after 10 s at the latest.
fn propagation_ms(system: &mut System) -> f64 {
    system.intent.slots += 1;
    system.confirm();
    let start = time::Instant::now();
    loop {
        let all_adopted = (0..system.vms.len()).all(|vm| {
            let path = system.folder.join(format!("vm-{vm}.log"));
            let log = fs::read_to_string(path).unwrap_or_default();
            log.contains("event=intent_adopted service=lots version=2")
        });
        if all_adopted || start.elapsed() > Duration::from_secs(10) {
            return start.elapsed().as_secs_f64() * 1000.0;
        }
    }
}

/// Measures idle systems of real processes by number of VMs, endpoints and shards.
fn measure_systems() {
    let sizes = [4usize, 8, 16];
    let mut usages = Vec::new();
    let mut propagations = Vec::new();
    for &vms in &sizes {
        let mut system = support::system("slope-vms").vms(vms).servers(4).start();
        usages.push(measure_idle(&system));
        propagations.push(Point {
            size: vms as f64,
            value: propagation_ms(&mut system),
        });
    }
    let points = |value: &dyn Fn(&Usage) -> f64, sizes: &[usize], usages: &[Usage]| {
        let pairs = sizes.iter().zip(usages);
        let points = pairs.map(|(&size, usage)| Point {
            size: size as f64,
            value: value(usage),
        });
        points.collect::<Vec<_>>()
    };
    let by_vms = |value: &dyn Fn(&Usage) -> f64| points(value, &sizes, &usages);
    print_fit(
        "CPU use of an idle VM by VMs, 4 endpoints",
        "% of a core",
        &by_vms(&|usage| usage.cpu_percent),
    );
    print_fit(
        "memory of an idle VM by VMs, 4 endpoints",
        "kB",
        &by_vms(&|usage| usage.memory_kb),
    );
    print_fit(
        "peer traffic of an idle VM by VMs, 4 endpoints",
        "bytes/s",
        &by_vms(&|usage| usage.peer_bytes_per_s),
    );
    print_fit(
        "store calls of an idle system by VMs, 4 endpoints",
        "calls/s",
        &by_vms(&|usage| usage.store_calls_per_s),
    );
    print_fit(
        "time until all VMs have adopted a confirmed intent by VMs, 4 endpoints",
        "ms",
        &propagations,
    );

    let counts = [4usize, 12, 24];
    let mut usages = Vec::new();
    for &servers in &counts {
        let builder = support::system("slope-endpoints").vms(4).servers(servers);
        usages.push(measure_idle(&builder.start()));
    }
    let by_endpoints = |value: &dyn Fn(&Usage) -> f64| points(value, &counts, &usages);
    print_fit(
        "CPU use of an idle VM by endpoints, 4 VMs",
        "% of a core",
        &by_endpoints(&|usage| usage.cpu_percent),
    );
    print_fit(
        "memory of an idle VM by endpoints, 4 VMs",
        "kB",
        &by_endpoints(&|usage| usage.memory_kb),
    );
    print_fit(
        "order traffic of an idle endpoint by endpoints, 4 VMs",
        "bytes/s",
        &by_endpoints(&|usage| usage.order_bytes_per_s),
    );
    print_fit(
        "peer traffic of an idle VM by endpoints, 4 VMs",
        "bytes/s",
        &by_endpoints(&|usage| usage.peer_bytes_per_s),
    );
    print_fit(
        "store calls of an idle system by endpoints, 4 VMs",
        "calls/s",
        &by_endpoints(&|usage| usage.store_calls_per_s),
    );

    let sizes = [64u32, 8192, 65_536];
    let mut usages = Vec::new();
    for &shards in &sizes {
        usages.push(measure_idle(
            &support::system("slope-shards")
                .vms(4)
                .shards(shards)
                .start(),
        ));
    }
    let sizes: Vec<usize> = sizes.iter().map(|&size| size as usize).collect();
    let by_shards = |value: &dyn Fn(&Usage) -> f64| points(value, &sizes, &usages);
    print_fit(
        "CPU use of an idle VM by shards, 4 VMs",
        "% of a core",
        &by_shards(&|usage| usage.cpu_percent),
    );
    print_fit(
        "memory of an idle VM by shards, 4 VMs",
        "kB",
        &by_shards(&|usage| usage.memory_kb),
    );
}

fn main() {
    measure_functions();
    measure_systems();
}
