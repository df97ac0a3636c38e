//! Experiments: several policies in turn on the same seeded load.
//!
//! Each run is a fresh system in this process. For every seed all policies
//! run one after the other before the next seed begins, so that whatever else
//! the machine does falls on all of them alike.

use crate::{
    deployment::{
        self,
        Deployment, //
    },
    load::{
        self,
        Load, //
    },
    summary::{
        self,
        Summary, //
    },
};
use rhubarbpick::kernel::{
    error::Error,
    runtime::Context,
    settings::Dispatch, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt::Write,
    time::Duration, //
};

/// Longest time until a system serves.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// Time for answers after the end of a load.
const GRACE: Duration = Duration::from_secs(60);

/// Quantiles that a result keeps.
pub const QUANTILES: [f64; 7] = [0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];

/// Which users' deployment is built.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Site {
    /// The auction.
    SlavonskaBala,
    /// The subscriptions.
    Kettenwachs,
}

/// An experiment, as written in YAML.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Deployment.
    pub site: Site,
    /// Service whose first answer shows that the system is ready.
    pub service: Box<str>,
    /// Entry VMs.
    pub entries: usize,
    /// Policies to compare.
    pub policies: Vec<Dispatch>,
    /// Streams of the load; each policy runs them together.
    pub load: Load,
    /// Names of the streams of one more run, under the last policy, that shows
    /// how they fare alone; empty for none.
    #[serde(default)]
    pub alone: Vec<Box<str>>,
    /// Seeds.
    pub seeds: Vec<u64>,
}

/// Result of one stream under one policy with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Policy.
    pub policy: Box<str>,
    /// Stream.
    pub stream: Box<str>,
    /// Seed.
    pub seed: u64,
    /// Requests sent.
    pub sent: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that certainly did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Answers that were not the request's own or not whole.
    pub damaged: u64,
    /// Latencies at [`QUANTILES`], in milliseconds.
    pub latency_ms: Vec<f64>,
}

/// Runs an experiment.
pub fn run(experiment: &Experiment) -> Result<Vec<Row>, Error> {
    let threads = std::thread::available_parallelism().map_or(4, |count| count.get());
    let context = Context::spawn(threads);
    let mut rows = Vec::new();
    for &seed in &experiment.seeds {
        for &policy in &experiment.policies {
            let name = format!("{policy:?}").to_lowercase();
            rows.extend(run_one(
                &context,
                experiment,
                policy,
                &name,
                seed,
                &experiment.load,
            )?);
        }
        if let Some(&policy) = experiment.policies.last() {
            let mut load = experiment.load.clone();
            load.streams
                .retain(|stream| experiment.alone.contains(&stream.name));
            for stream in &mut load.streams {
                stream.straggler_share = 0.0;
            }
            if !load.streams.is_empty() {
                rows.extend(run_one(&context, experiment, policy, "alone", seed, &load)?);
            }
        }
    }
    Ok(rows)
}

fn run_one(
    context: &Context,
    experiment: &Experiment,
    policy: Dispatch,
    name: &str,
    seed: u64,
    load: &Load,
) -> Result<Vec<Row>, Error> {
    let deployment: Deployment = match experiment.site {
        Site::SlavonskaBala => deployment::slavonska_bala(),
        Site::Kettenwachs => deployment::kettenwachs(),
    };
    let mut load = load.clone();
    load.seed = seed;
    let summaries = async_io::block_on(async {
        let system = deployment::spawn(context, &[deployment], experiment.entries, policy).await?;
        let path = format!("/{}/ready", experiment.service);
        load::wait_ready(context, &system.entries, &path, READY_WITHIN).await;
        let running = load::spawn(context, load.clone(), system.entries.clone());
        let records = running.finish(GRACE).await;
        system.stop().await;
        Ok::<_, Error>(summary::summarize(&load, &records))
    })?;
    eprintln!("seed {seed}, {name}: done");
    Ok(summaries
        .iter()
        .map(|summary| row(name, seed, summary))
        .collect())
}

fn row(policy: &str, seed: u64, summary: &Summary) -> Row {
    let at = |quantile: f64| summary.latency.value_at_quantile(quantile) as f64 / 1000.0;
    Row {
        policy: policy.into(),
        stream: summary.name.clone(),
        seed,
        sent: summary.sent,
        ran: summary.ran,
        not_run: summary.not_run,
        unknown: summary.unknown,
        damaged: summary.damaged,
        latency_ms: QUANTILES.iter().map(|&quantile| at(quantile)).collect(),
    }
}

/// Median, least and greatest of some values.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Least.
    pub least: f64,
    /// Greatest.
    pub greatest: f64,
}

/// Returns the spread of some values.
pub fn spread(mut values: Vec<f64>) -> Spread {
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
    Spread {
        median: at(values.len() / 2),
        least: at(0),
        greatest: at(values.len().saturating_sub(1)),
    }
}

/// Names of the policies and streams in the order of their first rows.
pub fn names(rows: &[Row], name: impl Fn(&Row) -> &str) -> Vec<Box<str>> {
    let mut names: Vec<Box<str>> = Vec::new();
    for row in rows {
        if !names.iter().any(|known| **known == *name(row)) {
            names.push(name(row).into());
        }
    }
    names
}

/// Writes the results as a table: medians over the seeds, with their spread.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<14}{:<14}{:>9}{:>9}{:>9}{:>9}{:>10}{:>24}{:>24}\n",
        "stream",
        "policy",
        "sent",
        "ran",
        "not-run",
        "unknown",
        "p50 ms",
        "p99 ms (least..most)",
        "p999 ms (least..most)"
    );
    for stream in names(rows, |row| &row.stream) {
        for policy in names(rows, |row| &row.policy) {
            let own = |row: &&Row| row.stream == stream && row.policy == policy;
            let own: Vec<&Row> = rows.iter().filter(own).collect();
            if own.is_empty() {
                continue;
            }
            write_line(&mut text, &stream, &policy, &own);
        }
    }
    text
}

fn write_line(text: &mut String, stream: &str, policy: &str, own: &[&Row]) {
    let of = |value: &dyn Fn(&Row) -> f64| spread(own.iter().map(|row| value(row)).collect());
    let range = |spread: Spread| {
        format!(
            "{:.1} ({:.1}..{:.1})",
            spread.median, spread.least, spread.greatest
        )
    };
    let _ = writeln!(
        text,
        "{:<14}{:<14}{:>9}{:>9}{:>9}{:>9}{:>10.1}{:>24}{:>24}",
        stream,
        policy,
        of(&|row| row.sent as f64).median,
        of(&|row| row.ran as f64).median,
        of(&|row| row.not_run as f64).median,
        of(&|row| row.unknown as f64).median,
        of(&|row| row.latency_ms[0]).median,
        range(of(&|row| row.latency_ms[4])),
        range(of(&|row| row.latency_ms[6])),
    );
}
