//! Least-squares fit of a straight line.

use serde::{Deserialize, Serialize};

/// A fitted line with the points that it was fitted to.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Line {
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Value at size zero.
    pub intercept: f64,
    /// Change of the value per unit of size.
    pub slope: f64,
    /// Coefficient of determination (R²); 1 if the sizes or the values do not vary.
    pub r2: f64,
}

impl Line {
    /// Fits a line by least squares. A single point, or points of the same size, give slope zero.
    #[allow(clippy::cast_precision_loss)]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sum = |f: &dyn Fn(f64, f64) -> f64| -> f64 {
            let deviations = points.iter().map(|(x, y)| f(x - mean_x, y - mean_y));
            deviations.sum()
        };
        let xx = sum(&|x, _| x * x);
        let xy = sum(&|x, y| x * y);
        let yy = sum(&|_, y| y * y);
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let r2 = if xx > 0.0 && yy > 0.0 {
            xy * xy / (xx * yy)
        } else {
            1.0
        };
        Self {
            points: points.to_vec(),
            intercept: mean_y - slope * mean_x,
            slope,
            r2,
        }
    }

    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
