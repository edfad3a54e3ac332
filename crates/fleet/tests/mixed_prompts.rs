//! Long and short prompts at the same engines, with 80 instances that choose by loads 200 ms old.

#[path = "support/mixed_prompts.rs"]
mod model;

use std::thread;

use model::{Figures, Model};

/// Figures of a run of 12 s for each of four seeds, at the same time.
fn run_seeds(prepare: fn(Model) -> Model) -> Vec<Figures> {
    let runs = (0..4).map(|seed| thread::spawn(move || prepare(Model::new(seed, 1.0, 12)).run()));
    let runs: Vec<_> = runs.collect();
    let figures = runs.into_iter().map(|run| run.join().unwrap());
    figures.inspect(|f| println!("{}", f.summary())).collect()
}

fn mean(figures: &[Figures], of: fn(&Figures) -> f64) -> f64 {
    let count = u32::try_from(figures.len()).unwrap();
    figures.iter().map(of).sum::<f64>() / f64::from(count)
}

/// Guards against instances that leave an engine with more to read than it reads within the goal for
/// pauses, and against long prompts that are kept from where they are cached. Without a goal, decisions
/// are those of a service whose routes declare none.
#[test]
fn nine_in_ten_short_streams_have_no_long_pause_beside_long_prompts() {
    let without = run_seeds(Model::without_pause_goal);
    let with = run_seeds(|model| model);
    let paused = mean(&with, Figures::paused);
    assert!(paused <= 0.1, "{paused} of the short streams");
    for (before, now) in without.iter().zip(&with) {
        assert!(now.late() <= before.late(), "{}", now.summary());
        assert!(now.late() <= 0.1, "{}", now.summary());
        assert!(now.busiest_of_model < 2.0, "{}", now.summary());
    }
}
