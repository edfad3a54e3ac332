//! Tracks how long upstreams take for the requests of each route, so that an instance that stops
//! accepts only what can end before it does.
//!
//! The longest recent time counts. A smoothed time with a multiple of its deviation was tried: it fell
//! below the slowest one in twelve streams of an even load, and each of these would be cut.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Length of a window. The longest time of the current and the previous window counts, so that a slow
/// spell is forgotten after 10 to 20 s.
const WINDOW: Duration = Duration::from_secs(10);

/// Longest times of complete answers, by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<String, RecentMaximum>,
}

#[derive(Clone, Copy, Debug)]
struct RecentMaximum {
    began_at: Instant,
    current: Duration,
    previous: Duration,
}

impl RecentMaximum {
    /// Begins a new window if the current one is over.
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began_at);
        if age < WINDOW {
            return;
        }
        self.previous = if age < WINDOW * 2 {
            self.current
        } else {
            Duration::ZERO
        };
        self.current = Duration::ZERO;
        self.began_at = now;
    }
}

impl RunTimes {
    /// Records the time from sending a request of a route to the end of its answer.
    pub fn record(&mut self, route: &str, time: Duration, now: Instant) {
        if let Some(known) = self.routes.get_mut(route) {
            known.advance(now);
            known.current = known.current.max(time);
        } else {
            let first = RecentMaximum {
                began_at: now,
                current: time,
                previous: Duration::ZERO,
            };
            self.routes.insert(route.to_owned(), first);
        }
    }

    /// Time within which a request of a route is expected to end once it is sent; none if none has
    /// ended lately.
    pub fn expected(&mut self, route: &str, now: Instant) -> Option<Duration> {
        let known = self.routes.get_mut(route)?;
        known.advance(now);
        let longest = known.current.max(known.previous);
        (!longest.is_zero()).then_some(longest)
    }
}
