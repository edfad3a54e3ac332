//! Estimates of how long requests wait and run, from those that ended lately.

use std::time::Duration;

/// Weight of the newest observation.
const NEWEST: f64 = 0.2;

/// A moving average of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average(Option<f64>);

impl Average {
    /// Adds an observation.
    pub fn observe(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let before = self.0.unwrap_or(time);
        self.0 = Some(before + NEWEST * (time - before));
    }

    /// The average; zero before the first observation.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.0.unwrap_or_default())
    }
}

/// How fast the requests of one queue are served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Time for which a request occupies its upstream.
    pub occupied: Average,
    /// Time until a whole answer.
    pub whole: Average,
    /// Time until the first token of a stream.
    pub first_token: Average,
}

impl Pace {
    /// Time until a request that has `ahead` others before it is sent, while `running` are served
    /// at once. Zero when nothing runs, because nothing is known then.
    pub fn expected_wait(&self, ahead: usize, running: u32) -> Duration {
        if running == 0 {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.occupied.get().saturating_mul(ahead) / running
    }

    /// Time from sending a request to what its deadline asks for.
    pub fn expected_answer(&self, is_stream: bool) -> Duration {
        if is_stream {
            self.first_token.get()
        } else {
            self.whole.get()
        }
    }
}
