//! Experiments: the same seeded load under several dispatch policies.
//!
//! Each run starts a new system in this process. For each seed, all policies
//! run one after the other before the next seed begins, so that slow changes
//! in the load of the machine affect all policies alike.

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

/// Longest wait until a new system is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for responses after the last request was sent.
const RESPONSE_GRACE: Duration = Duration::from_secs(60);

/// Quantiles of the latency in each result.
pub const QUANTILES: [f64; 7] = [0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];

/// The user whose deployment is started.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Site {
    /// The auction house.
    SlavonskaBala,
    /// The subscription business.
    Kettenwachs,
}

/// An experiment, as described in a YAML file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Deployment to start.
    pub site: Site,
    /// Service whose success response shows that the system is ready.
    pub service: Box<str>,
    /// Number of entry VMs.
    pub entries: usize,
    /// Policies to compare.
    pub policies: Vec<Dispatch>,
    /// Load that is sent under each policy; the seed in it is ignored.
    pub load: Load,
    /// Names of the streams that are also sent on their own under the last
    /// policy, without stragglers, as a baseline; empty for no such run.
    #[serde(default)]
    pub alone: Vec<Box<str>>,
    /// Seeds; there is one run per seed and policy.
    pub seeds: Vec<u64>,
}

/// Result for one stream under one policy with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the policy, or `alone` for the baseline.
    pub policy: Box<str>,
    /// Name of the stream.
    pub stream: Box<str>,
    /// Seed of the run.
    pub seed: u64,
    /// Requests sent.
    pub sent: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that did not run, known for certain.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Success responses that did not have the body that the request asked for.
    pub damaged: u64,
    /// Latencies at [`QUANTILES`], in milliseconds.
    pub latency_ms: Vec<f64>,
}

/// Runs an experiment and returns one row per stream, policy and seed.
pub fn run(experiment: &Experiment) -> Result<Vec<Row>, Error> {
    let threads = std::thread::available_parallelism().map_or(4, |count| count.get());
    let context = Context::spawn(threads);
    let mut rows = Vec::new();
    for &seed in &experiment.seeds {
        for &policy in &experiment.policies {
            let name = format!("{policy:?}").to_lowercase();
            rows.extend(run_load(
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
                rows.extend(run_load(
                    &context, experiment, policy, "alone", seed, &load,
                )?);
            }
        }
    }
    Ok(rows)
}

fn run_load(
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
        load::wait_ready(context, &system.entries, &path, READY_TIMEOUT).await;
        let running = load::spawn(context, load.clone(), system.entries.clone());
        let records = running.finish(RESPONSE_GRACE).await;
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

/// Median and range of a set of values.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

/// Computes the spread of `values`; zeros if there are none.
pub fn spread(mut values: Vec<f64>) -> Spread {
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
    Spread {
        median: at(values.len() / 2),
        min: at(0),
        max: at(values.len().saturating_sub(1)),
    }
}

/// Returns the distinct values of `name`, in order of first appearance.
pub fn distinct_names(rows: &[Row], name: impl Fn(&Row) -> &str) -> Vec<Box<str>> {
    let mut names: Vec<Box<str>> = Vec::new();
    for row in rows {
        if !names.iter().any(|known| **known == *name(row)) {
            names.push(name(row).into());
        }
    }
    names
}

/// Formats the results as a table of medians over the seeds; the latency quantiles also
/// have their range.
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
        "p99 ms (min..max)",
        "p999 ms (min..max)"
    );
    for stream in distinct_names(rows, |row| &row.stream) {
        for policy in distinct_names(rows, |row| &row.policy) {
            let is_selected = |row: &&Row| row.stream == stream && row.policy == policy;
            let selected: Vec<&Row> = rows.iter().filter(is_selected).collect();
            if selected.is_empty() {
                continue;
            }
            write_line(&mut text, &stream, &policy, &selected);
        }
    }
    text
}

fn write_line(text: &mut String, stream: &str, policy: &str, rows: &[&Row]) {
    let spread_of =
        |value: &dyn Fn(&Row) -> f64| spread(rows.iter().map(|row| value(row)).collect());
    let range = |spread: Spread| {
        format!(
            "{:.1} ({:.1}..{:.1})",
            spread.median, spread.min, spread.max
        )
    };
    let _ = writeln!(
        text,
        "{:<14}{:<14}{:>9}{:>9}{:>9}{:>9}{:>10.1}{:>24}{:>24}",
        stream,
        policy,
        spread_of(&|row| row.sent as f64).median,
        spread_of(&|row| row.ran as f64).median,
        spread_of(&|row| row.not_run as f64).median,
        spread_of(&|row| row.unknown as f64).median,
        spread_of(&|row| row.latency_ms[0]).median,
        range(spread_of(&|row| row.latency_ms[4])),
        range(spread_of(&|row| row.latency_ms[6])),
    );
}
