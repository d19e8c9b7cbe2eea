//! Aggregates the results of all repetitions and prints them as a table or JSON.

use std::fmt;

use serde::Serialize;

use super::{Config, Mode, Sample};

/// Median, minimum and maximum over the repetitions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Spread {
    /// Computes the spread of the values; all fields are zero if there are none.
    pub fn new(values: impl IntoIterator<Item = f64>) -> Spread {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let (Some(min), Some(max)) = (values.first(), values.last()) else {
            return Spread::default();
        };
        let middle = values.len() / 2;
        let median = match values.len() % 2 {
            0 => (values[middle - 1] + values[middle]) / 2.0,
            _ => values[middle],
        };
        Spread {
            median,
            min: *min,
            max: *max,
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} ({:.0}..{:.0})", self.median, self.min, self.max)
    }
}

/// Results of one mode over one route.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the route.
    pub route: String,
    /// The mode.
    pub mode: Mode,
    /// Responses with a status below 400 per second.
    pub throughput_per_s: Spread,
    /// Median latency in microseconds.
    pub p50_us: Spread,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: Spread,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: Spread,
    /// Calls with a status below 400, over all repetitions.
    pub ok: u64,
    /// Calls marked as not run, over all repetitions.
    pub not_run: u64,
    /// Calls marked as having an unknown outcome, over all repetitions.
    pub unknown: u64,
    /// Calls that failed otherwise, over all repetitions.
    pub failed: u64,
}

impl Row {
    pub(super) fn new(route: &str, mode: Mode, samples: &[Sample]) -> Row {
        let sum = |count: fn(&Sample) -> u64| samples.iter().map(count).sum();
        let quantile = |quantile| {
            let values = samples.iter().map(|sample| sample.quantile_us(quantile));
            Spread::new(values)
        };
        Row {
            route: route.to_owned(),
            mode,
            throughput_per_s: Spread::new(samples.iter().map(Sample::throughput)),
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
            p999_us: quantile(0.999),
            ok: sum(|sample| sample.ok),
            not_run: sum(|sample| sample.not_run),
            unknown: sum(|sample| sample.unknown),
            failed: sum(|sample| sample.error_status + sample.incomplete + sample.timed_out),
        }
    }
}

/// Comparison of a route with the first one in the same mode.
#[derive(Clone, Debug, Serialize)]
pub struct Ratio {
    /// The route.
    pub route: String,
    /// The route used as the reference.
    pub base: String,
    /// The mode.
    pub mode: Mode,
    /// Ratio of throughput.
    pub throughput: f64,
    /// Difference of the median latency in microseconds.
    pub added_p50_us: f64,
    /// Difference of the 99th percentile of the latency in microseconds.
    pub added_p99_us: f64,
}

/// Results of a run, with the revision and settings needed to repeat it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Revision of the code.
    pub revision: String,
    /// Settings, with the seed.
    pub settings: Config,
    /// Results.
    pub rows: Vec<Row>,
    /// Comparisons with the first route.
    pub ratios: Vec<Ratio>,
}

impl Report {
    pub(super) fn new(config: &Config, revision: &str, rows: Vec<Row>) -> Report {
        let ratios = rows.iter().filter_map(|row| ratio(row, &rows)).collect();
        Report {
            revision: revision.to_owned(),
            settings: config.clone(),
            rows,
            ratios,
        }
    }

    /// Returns the report as indented JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has only text keys")
    }
}

/// Compares the medians of a row with those of the first row of its mode. Returns `None` for the
/// first route itself.
fn ratio(row: &Row, rows: &[Row]) -> Option<Ratio> {
    let base = rows.iter().find(|base| base.mode == row.mode)?;
    if base.route == row.route {
        return None;
    }
    Some(Ratio {
        route: row.route.clone(),
        base: base.route.clone(),
        mode: row.mode,
        throughput: row.throughput_per_s.median / base.throughput_per_s.median.max(1e-9),
        added_p50_us: row.p50_us.median - base.p50_us.median,
        added_p99_us: row.p99_us.median - base.p99_us.median,
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Config {
            seed,
            duration,
            repetitions,
            ..
        } = &self.settings;
        let revision = &self.revision;
        writeln!(
            f,
            "revision {revision}, seed {seed}, {repetitions} x {duration:?}"
        )?;
        writeln!(
            f,
            "{:<10} {:<14} {:>24} {:>22} {:>24} {:>26} {:>8}",
            "route", "mode", "ok/s", "p50 us", "p99 us", "p99.9 us", "errors"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<10} {:<14} {:>24} {:>22} {:>24} {:>26} {:>8}",
                row.route,
                row.mode.to_string(),
                row.throughput_per_s.to_string(),
                row.p50_us.to_string(),
                row.p99_us.to_string(),
                row.p999_us.to_string(),
                row.not_run + row.unknown + row.failed,
            )?;
        }
        for ratio in &self.ratios {
            let Ratio {
                route,
                base,
                mode,
                throughput,
                added_p50_us,
                added_p99_us,
            } = ratio;
            writeln!(
                f,
                "{route}/{base} {mode}: throughput x{throughput:.3}, p50 {added_p50_us:+.0} us, \
                 p99 {added_p99_us:+.0} us"
            )?;
        }
        Ok(())
    }
}
