//! Demo: the traffic of both users through 8 entries, all in one process.

use crate::{
    deployment,
    load::{
        self,
        Burst,
        Load,
        Stream, //
    },
    summary,
};
use rhubarbpick::kernel::{
    error::Error,
    runtime::{
        sleep,
        Context, //
    },
    settings::Dispatch,
};
use std::time::Duration;

/// Number of entry VMs.
const ENTRIES: usize = 8;

/// Longest wait until all services respond.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which progress is printed.
const PROGRESS_PERIOD: Duration = Duration::from_secs(2);

/// Longest wait for responses after the last request was sent.
const RESPONSE_GRACE: Duration = Duration::from_secs(30);

/// Size of an uploaded photo.
const PHOTO_BYTES: usize = 2 * 1024 * 1024;

/// Size of a settlement history or an invoice list.
const HISTORY_BYTES: usize = 512 * 1024;

fn stream(name: &str, method: &str, service: &str, rate: f64, work_ms: u64) -> Stream {
    Stream {
        name: name.into(),
        method: method.into(),
        prefix: format!("/{service}/").into(),
        suffix: "".into(),
        rate,
        keys: 10_000,
        zipf: 0.0,
        body_bytes: 0,
        answer_bytes: 0,
        work_ms,
        straggler_share: 0.0,
        straggler_times: 1.0,
        protected: false,
        bursts: false,
    }
}

/// Returns the traffic of both users at ordinary load.
///
/// In the middle third, listings and bids arrive at three times their rate.
pub fn traffic(span_ms: u64, seed: u64) -> Load {
    let streams = vec![
        Stream {
            zipf: 0.8,
            bursts: true,
            ..stream("listings", "GET", "catalogue", 200.0, 4)
        },
        Stream {
            suffix: "/bids".into(),
            protected: true,
            bursts: true,
            zipf: 0.8,
            ..stream("bids", "POST", "catalogue", 50.0, 5)
        },
        stream("prices", "GET", "prices", 200.0, 3),
        Stream {
            body_bytes: PHOTO_BYTES,
            ..stream("inspection photos", "POST", "inspections", 5.0, 100)
        },
        Stream {
            answer_bytes: HISTORY_BYTES,
            ..stream("settlements", "GET", "settlements", 5.0, 80)
        },
        Stream {
            suffix: "/renewals".into(),
            protected: true,
            ..stream("renewals", "POST", "archive", 40.0, 6)
        },
        stream("shipments", "GET", "archive", 60.0, 8),
        stream("shop pages", "GET", "shop", 150.0, 4),
        Stream {
            body_bytes: PHOTO_BYTES,
            ..stream("drivetrain photos", "POST", "photos", 5.0, 120)
        },
        Stream {
            answer_bytes: HISTORY_BYTES,
            ..stream("invoices", "GET", "invoices", 5.0, 60)
        },
    ];
    Load {
        streams,
        burst: Some(Burst {
            from_ms: span_ms / 3,
            to_ms: span_ms * 2 / 3,
            times: 3.0,
        }),
        span_ms,
        seed,
    }
}

/// Runs the demo.
///
/// Returns false if the system did not get ready, if a protected request took
/// effect more than once, or if a response was damaged.
pub async fn run(context: &Context, span_ms: u64, seed: u64) -> Result<bool, Error> {
    println!("starting an object store, 69 endpoints of two operators and {ENTRIES} entries");
    let deployments = [deployment::slavonska_bala(), deployment::kettenwachs()];
    let system = deployment::spawn(context, &deployments, ENTRIES, Dispatch::default()).await?;
    for path in ["/catalogue/ready", "/archive/ready"] {
        if !load::wait_ready(context, &system.entries, path, READY_TIMEOUT).await {
            println!("no success response for {path} from every entry within 20 s");
            return Ok(false);
        }
    }
    println!(
        "all keys are owned; sending {} s of traffic with seed {seed}",
        span_ms / 1000
    );
    let traffic = traffic(span_ms, seed);
    let running = load::spawn(context, traffic.clone(), system.entries.clone());
    let mut reports = 0;
    while reports < span_ms / PROGRESS_PERIOD.as_millis() as u64 {
        sleep(PROGRESS_PERIOD).await;
        reports += 1;
        println!(
            "{:>4} s  {:>8} requests completed",
            reports * 2,
            running.completed()
        );
    }
    let records = running.finish(RESPONSE_GRACE).await;
    let summaries = summary::summarize(&traffic, &records);
    print!("{}", summary::table(&summaries));
    let duplicates = system.duplicate_effects();
    let damaged: u64 = summaries.iter().map(|summary| summary.damaged).sum();
    let sent: u64 = summaries.iter().map(|summary| summary.sent).sum();
    let ran: u64 = summaries.iter().map(|summary| summary.ran).sum();
    let refused: u64 = summaries.iter().map(|summary| summary.not_run).sum();
    println!(
        "served {ran} of {sent} requests, refused {refused}; {duplicates} repeated runs of protected \
         requests, {damaged} damaged responses"
    );
    Ok(duplicates == 0 && damaged == 0)
}
