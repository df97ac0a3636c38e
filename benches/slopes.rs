//! What the parts cost as they grow: the slopes behind `docs/CAPACITY.md`.
//!
//! `cargo bench --bench slopes` prints, for each quantity, what was measured
//! at each size, the least-squares line through it and the largest distance
//! of a measurement from that line.

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

/// How long a running system is watched.
const WATCH: Duration = Duration::from_secs(5);

struct Point {
    size: f64,
    value: f64,
}

/// Prints measurements and the line through them.
fn fit(name: &str, unit: &str, points: &[Point]) {
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
    let base = mean_value - slope * mean_size;
    let error = points
        .iter()
        .map(|point| (base + slope * point.size - point.value).abs())
        .fold(0.0, f64::max);
    let measured: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {:.4}", point.size, point.value))
        .collect();
    println!("{name} [{unit}]\n  measured {}", measured.join(", "));
    println!("  line {base:.4} + {slope:.6} x size, largest distance {error:.4}");
}

/// Time of one call, the least of several runs, in microseconds.
fn time_us(calls: u32, mut call: impl FnMut()) -> f64 {
    let mut least = f64::MAX;
    for _ in 0..5 {
        let begin = time::Instant::now();
        for _ in 0..calls {
            call();
        }
        least = least.min(begin.elapsed().as_secs_f64() * 1e6 / f64::from(calls));
    }
    least
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

fn cell(shards: u32, endpoints: usize) -> Table {
    let list = (0..endpoints).map(|index| Endpoint {
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
        endpoints: list.collect(),
        owners,
        transits: Vec::new(),
        trail: Vec::new(),
        trail_paged: 0,
    }
}

fn confirmed(cell: &Table) -> Record {
    let endpoints = cell
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
            shards: cell.owners.count(),
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

/// Plans the loss of a sixth of the endpoints, all words given.
fn plan_zone_loss(cell: &Table, confirmed: &Record, view: &View) -> usize {
    let now = Instant(100_000_000);
    let lost = |key: Index| usize::from(key.0) % 6 == 0;
    let mut reports = Vec::new();
    let mut words = Vec::new();
    for (key, endpoint) in cell.indexed_endpoints() {
        for seat in &endpoint.renewers {
            reports.push(Observation {
                node: seat.clone(),
                report: Report {
                    endpoint: key,
                    incarnation: endpoint.incarnation,
                    acked: cell.token,
                    settled: cell.token,
                    silent: lost(key),
                    leaving: false,
                    replaced_by: None,
                },
            });
            if lost(key) {
                words.push(Commitment {
                    node: seat.clone(),
                    promise: Promise {
                        endpoint: key,
                        incarnation: endpoint.incarnation,
                        age_us: Some(700_000),
                    },
                    received: now,
                });
            }
        }
    }
    let facts = Inputs {
        now,
        wall_clock_ms: 0,
        write_id: 2,
        view,
        may_suspect_peers: true,
        intent: confirmed,
        reports: &reports,
        stop_promises: &words,
        probes: &[],
    };
    let next = planner::decide(cell, &facts)
        .next
        .expect("a loss changes the table");
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

fn pure_slopes() {
    let sizes = [4096u32, 65_536, 262_144];
    let tables: Vec<Table> = sizes.iter().map(|&size| cell(size, 16)).collect();
    let point = |size: u32, value: f64| Point {
        size: f64::from(size),
        value,
    };
    let pairs = || sizes.iter().copied().zip(&tables);
    let bytes = pairs().map(|(size, table)| point(size, wire::encode(table).len() as f64));
    fit(
        "stored table by shards, 16 endpoints",
        "bytes",
        &bytes.collect::<Vec<_>>(),
    );
    let encode = pairs()
        .map(|(size, table)| point(size, time_us(20, || drop(black_box(wire::encode(table))))));
    fit(
        "encoding a table by shards",
        "us",
        &encode.collect::<Vec<_>>(),
    );
    let decode = pairs().map(|(size, table)| {
        let text = wire::encode(table);
        point(
            size,
            time_us(20, || drop(black_box(wire::decode::<Table>(&text)))),
        )
    });
    fit(
        "decoding a table by shards",
        "us",
        &decode.collect::<Vec<_>>(),
    );
    let lookup = pairs().map(|(size, table)| {
        let mut number = 0u64;
        let one = time_us(200_000, || {
            number += 1;
            let shard = shard::of_key(&number.to_le_bytes(), table.owners.count());
            black_box(table.owner(shard));
        });
        point(size, one * 1000.0)
    });
    fit(
        "finding a key's owner by shards",
        "ns",
        &lookup.collect::<Vec<_>>(),
    );
    let crowd = view(8);
    let loss = pairs().map(|(size, table)| {
        let intent = confirmed(table);
        let one = time_us(5, || {
            black_box(plan_zone_loss(table, &intent, &crowd));
        });
        point(size, one)
    });
    fit(
        "planning a zone's loss by shards, 16 endpoints",
        "us",
        &loss.collect::<Vec<_>>(),
    );

    let counts = [16usize, 128, 1024];
    let tables: Vec<Table> = counts.iter().map(|&count| cell(16_384, count)).collect();
    let pairs = || counts.iter().copied().zip(&tables);
    let point = |size: usize, value: f64| Point {
        size: size as f64,
        value,
    };
    let bytes = pairs().map(|(size, table)| point(size, wire::encode(table).len() as f64));
    fit(
        "stored table by endpoints, 16384 shards",
        "bytes",
        &bytes.collect::<Vec<_>>(),
    );
    let loss = pairs().map(|(size, table)| {
        let intent = confirmed(table);
        let one = time_us(1, || {
            black_box(plan_zone_loss(table, &intent, &crowd));
        });
        point(size, one)
    });
    fit(
        "planning a zone's loss by endpoints",
        "us",
        &loss.collect::<Vec<_>>(),
    );
    let members = [10usize, 100, 1000];
    let beats = members.iter().map(|&count| {
        let beat = Heartbeat {
            from: peer(0),
            digest: u64::MAX,
            lists: Some(Inventory {
                peers: (1..count).map(peer).collect(),
                tables: vec![held(); 8],
                intents: vec![known(); 8],
            }),
            reports: None,
        };
        point(count, wire::encode(&beat).len() as f64)
    });
    let beats: Vec<Point> = beats.collect();
    fit(
        "heartbeat with lists by members, 8 services",
        "bytes",
        &beats,
    );
}

fn held() -> Replica {
    Replica {
        cell: "catalogue".into(),
        token: Token {
            epoch: 3,
            version: 70,
        },
    }
}

fn known() -> Version {
    Version {
        service: "catalogue".into(),
        version: 5,
    }
}

/// What a running system uses while nothing is asked of it.
struct Rest {
    core_share: f64,
    memory_kb: f64,
    peer_bytes: f64,
    order_bytes: f64,
    calls: f64,
}

fn memory_kb(id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let number = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    number.unwrap_or(0.0)
}

fn total(calls: Calls) -> f64 {
    (calls.reads + calls.writes + calls.watches) as f64
}

fn at_rest(system: &System) -> Rest {
    thread::sleep(Duration::from_secs(1));
    let ids: Vec<u32> = system.vms.iter().map(|vm| vm.process.id()).collect();
    let busy = || ids.iter().map(|&id| processor_seconds(id)).sum::<f64>();
    let peers = || {
        system
            .vms
            .iter()
            .map(|vm| vm.peers.byte_count())
            .sum::<u64>() as f64
    };
    let orders = || {
        system
            .servers
            .iter()
            .map(|server| server.route.byte_count())
            .sum::<u64>() as f64
    };
    let before = (busy(), peers(), orders(), total(system.store.calls()));
    thread::sleep(WATCH);
    let seconds = WATCH.as_secs_f64();
    let vms = ids.len() as f64;
    Rest {
        core_share: (busy() - before.0) / seconds / vms * 100.0,
        memory_kb: ids.iter().map(|&id| memory_kb(id)).sum::<f64>() / vms,
        peer_bytes: (peers() - before.1) / seconds / vms,
        order_bytes: (orders() - before.2) / seconds / system.servers.len() as f64,
        calls: (total(system.store.calls()) - before.3) / seconds,
    }
}

/// Time from a confirm's answer until every VM logged the new version, in ms.
fn spread_ms(system: &mut System) -> f64 {
    system.intent.slots += 1;
    system.confirm();
    let begin = time::Instant::now();
    loop {
        let everywhere = (0..system.vms.len()).all(|vm| {
            let path = system.folder.join(format!("vm-{vm}.log"));
            let text = fs::read_to_string(path).unwrap_or_default();
            text.contains("event=intent_adopted service=lots version=2")
        });
        if everywhere || begin.elapsed() > Duration::from_secs(10) {
            return begin.elapsed().as_secs_f64() * 1000.0;
        }
    }
}

fn running_slopes() {
    let sizes = [4usize, 8, 16];
    let mut rests = Vec::new();
    let mut spreads = Vec::new();
    for &vms in &sizes {
        let mut system = support::system("slope-vms").vms(vms).servers(4).start();
        rests.push(at_rest(&system));
        spreads.push(Point {
            size: vms as f64,
            value: spread_ms(&mut system),
        });
    }
    let points = |value: &dyn Fn(&Rest) -> f64, sizes: &[usize], rests: &[Rest]| {
        let pairs = sizes.iter().zip(rests);
        let points = pairs.map(|(&size, rest)| Point {
            size: size as f64,
            value: value(rest),
        });
        points.collect::<Vec<_>>()
    };
    let by_vms = |value: &dyn Fn(&Rest) -> f64| points(value, &sizes, &rests);
    fit(
        "a VM at rest by VMs, 4 endpoints",
        "% of a core",
        &by_vms(&|rest| rest.core_share),
    );
    fit(
        "memory of a VM by VMs",
        "kB",
        &by_vms(&|rest| rest.memory_kb),
    );
    fit(
        "peer traffic of a VM by VMs",
        "bytes/s",
        &by_vms(&|rest| rest.peer_bytes),
    );
    fit(
        "store calls of the system by VMs",
        "calls/s",
        &by_vms(&|rest| rest.calls),
    );
    fit("confirm in force everywhere by VMs", "ms", &spreads);

    let counts = [4usize, 12, 24];
    let mut rests = Vec::new();
    for &servers in &counts {
        let builder = support::system("slope-endpoints").vms(4).servers(servers);
        rests.push(at_rest(&builder.start()));
    }
    let by_endpoints = |value: &dyn Fn(&Rest) -> f64| points(value, &counts, &rests);
    fit(
        "a VM at rest by endpoints, 4 VMs",
        "% of a core",
        &by_endpoints(&|rest| rest.core_share),
    );
    fit(
        "memory of a VM by endpoints",
        "kB",
        &by_endpoints(&|rest| rest.memory_kb),
    );
    fit(
        "order traffic of an endpoint",
        "bytes/s",
        &by_endpoints(&|rest| rest.order_bytes),
    );
    fit(
        "peer traffic of a VM by endpoints",
        "bytes/s",
        &by_endpoints(&|rest| rest.peer_bytes),
    );
    fit(
        "store calls of the system by endpoints",
        "calls/s",
        &by_endpoints(&|rest| rest.calls),
    );

    let sizes = [64u32, 8192, 65_536];
    let mut rests = Vec::new();
    for &shards in &sizes {
        rests.push(at_rest(
            &support::system("slope-shards")
                .vms(4)
                .shards(shards)
                .start(),
        ));
    }
    let sizes: Vec<usize> = sizes.iter().map(|&size| size as usize).collect();
    let by_shards = |value: &dyn Fn(&Rest) -> f64| points(value, &sizes, &rests);
    fit(
        "a VM at rest by shards",
        "% of a core",
        &by_shards(&|rest| rest.core_share),
    );
    fit(
        "memory of a VM by shards",
        "kB",
        &by_shards(&|rest| rest.memory_kb),
    );
}

fn main() {
    pure_slopes();
    running_slopes();
}
