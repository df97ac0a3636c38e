//! Evaluation of the records of a load.

use crate::load::{
    Load,
    Outcome,
    Record, //
};
use hdrhistogram::Histogram;

/// Largest latency that the histograms resolve; longer ones count as this.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Significant decimal digits of latencies in the histograms.
const LATENCY_DIGITS: u8 = 3;

/// Results for one stream.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Name of the stream.
    pub name: Box<str>,
    /// Requests sent.
    pub sent: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that did not run, known for certain.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests rejected as invalid.
    pub rejected: u64,
    /// Success responses that did not have the body that the request asked for.
    pub damaged: u64,
    /// Latencies of requests that ran, in microseconds.
    pub latency: Histogram<u64>,
}

/// Summarizes records, one summary per stream of `load`.
pub fn summarize(load: &Load, records: &[Record]) -> Vec<Summary> {
    let streams = load.streams.iter().enumerate();
    let summaries = streams.map(|(index, stream)| {
        let selected = records.iter().filter(|record| record.stream == index);
        summarize_stream(&stream.name, selected)
    });
    summaries.collect()
}

/// Summarizes the records of one stream.
pub fn summarize_stream<'a>(name: &str, records: impl Iterator<Item = &'a Record>) -> Summary {
    let latency = Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS);
    let mut summary = Summary {
        name: name.into(),
        sent: 0,
        ran: 0,
        not_run: 0,
        unknown: 0,
        rejected: 0,
        damaged: 0,
        latency: latency.expect("the histogram bounds are valid"),
    };
    for record in records {
        summary.sent += 1;
        match record.outcome {
            Outcome::Ran => {
                summary.ran += 1;
                summary.latency.saturating_record(record.latency_us);
            }
            Outcome::NotRun => summary.not_run += 1,
            Outcome::Unknown => summary.unknown += 1,
            Outcome::Rejected => summary.rejected += 1,
        }
        if !record.intact {
            summary.damaged += 1;
        }
    }
    summary
}

/// Formats summaries as a table, one line per stream.
pub fn table(summaries: &[Summary]) -> String {
    let mut text = format!(
        "{:<22}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}{:>10}{:>10}{:>10}\n",
        "stream",
        "sent",
        "ran",
        "not-run",
        "unknown",
        "rejected",
        "damaged",
        "p50 ms",
        "p99 ms",
        "p999 ms"
    );
    for summary in summaries {
        let latency_ms = |quantile| summary.latency.value_at_quantile(quantile) as f64 / 1000.0;
        text.push_str(&format!(
            "{:<22}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}{:>10.2}{:>10.2}{:>10.2}\n",
            summary.name,
            summary.sent,
            summary.ran,
            summary.not_run,
            summary.unknown,
            summary.rejected,
            summary.damaged,
            latency_ms(0.5),
            latency_ms(0.99),
            latency_ms(0.999),
        ));
    }
    text
}
