//! Long and short prompts at the same engines, with 80 instances that choose by loads 200 ms old.

#[path = "support/mixed_prompts.rs"]
mod model;

use model::Model;

/// Guards against long prompts that wait for room where little of them is cached, and against instances
/// that leave an engine with more to read than it reads within the goal for pauses.
#[test]
fn goal_for_pauses_costs_no_long_prompt_its_own() {
    for seed in 0..3 {
        let before = Model::new(seed, 1.0, 12).without_pause_goal().run();
        let figures = Model::new(seed, 1.0, 12).run();
        println!("without goal: {}", before.summary());
        println!("with goal:    {}", figures.summary());
        assert!(figures.late() <= before.late(), "{}", figures.summary());
        assert!(figures.paused() < before.paused(), "{}", figures.summary());
    }
}
