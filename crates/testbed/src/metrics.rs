//! Parsing of metrics in the Prometheus text format.

/// Samples of one scrape. Each is the metric's name, the text of its labels and its value.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    samples: Vec<(String, String, f64)>,
}

impl Metrics {
    /// Parses a scrape. Lines that are no sample are skipped.
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        Self {
            samples: lines.filter_map(parse_sample).collect(),
        }
    }

    /// Sum of the samples of a metric whose labels contain all of `labels`, such as
    /// `workspace="w"`.
    pub fn sum(&self, name: &str, labels: &[&str]) -> f64 {
        let matching = self.samples.iter().filter(|(metric, given_labels, _)| {
            metric == name && labels.iter().all(|label| given_labels.contains(label))
        });
        matching.map(|(_, _, value)| value).sum()
    }

    /// Metric names of all samples; a metric with several samples appears several times.
    pub fn names(&self) -> Vec<&str> {
        self.samples
            .iter()
            .map(|(name, ..)| name.as_str())
            .collect()
    }
}

fn parse_sample(line: &str) -> Option<(String, String, f64)> {
    let (series, value) = line.rsplit_once(' ')?;
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    Some((name.to_owned(), labels.to_owned(), value.parse().ok()?))
}
