//! Reading of metrics in the text format of Prometheus.

/// Samples of one reading.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    samples: Vec<(String, String, f64)>,
}

impl Metrics {
    /// Reads the text.
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        Self {
            samples: lines.filter_map(sample).collect(),
        }
    }

    /// Sum of the samples of a metric whose labels contain all of `labels`, such as
    /// `workspace="w"`.
    pub fn sum(&self, name: &str, labels: &[&str]) -> f64 {
        let matching = self.samples.iter().filter(|(sample, given, _)| {
            sample == name && labels.iter().all(|label| given.contains(label))
        });
        matching.map(|(_, _, value)| value).sum()
    }

    /// Names of all metrics.
    pub fn names(&self) -> Vec<&str> {
        self.samples
            .iter()
            .map(|(name, ..)| name.as_str())
            .collect()
    }
}

fn sample(line: &str) -> Option<(String, String, f64)> {
    let (head, value) = line.rsplit_once(' ')?;
    let (name, labels) = head.split_once('{').unwrap_or((head, ""));
    Some((name.to_owned(), labels.to_owned(), value.parse().ok()?))
}
