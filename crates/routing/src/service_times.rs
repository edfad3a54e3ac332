//! Estimates how long requests wait and run, from recently completed requests.

use std::time::Duration;

/// Smoothing factor: weight of the newest observation in the average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Exponential moving average of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Adds an observation.
    pub fn observe(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let before = self.0.unwrap_or(time);
        self.0 = Some(before + NEWEST_WEIGHT * (time - before));
    }

    /// The average; zero before the first observation.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.0.unwrap_or_default())
    }
}

/// Average service times of the requests of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTimes {
    /// Time for which a request occupies a slot of its upstream.
    pub occupied: MovingAverage,
    /// Time until the complete answer.
    pub complete_answer: MovingAverage,
    /// Time until the first token of a stream.
    pub first_token: MovingAverage,
}

impl ServiceTimes {
    /// Expected time until a request with `ahead` others before it is sent, while `running`
    /// requests are served at once. Zero when none is running, because there is no basis for an
    /// estimate.
    pub fn expected_wait(&self, ahead: usize, running: u32) -> Duration {
        if running == 0 {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.occupied.get().saturating_mul(ahead) / running
    }

    /// Expected time from sending a request to the event that its deadline applies to: the first
    /// token of a stream, or else the complete answer.
    pub fn expected_answer(&self, is_stream: bool) -> Duration {
        if is_stream {
            self.first_token.get()
        } else {
            self.complete_answer.get()
        }
    }
}
