//! Linear regression over measured points.

use serde::Serialize;

/// A measured point.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Point {
    /// The size that was varied.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// A fitted line, with the standard error of its slope.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Line {
    /// Value at size zero.
    pub base: f64,
    /// Increase per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

/// Fits a line by least squares. Returns `None` for fewer than three points, from
/// which the error of the slope cannot be estimated.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "the number of points is far below 2^52"
)]
pub fn fit_line(points: &[Point]) -> Option<Line> {
    let n = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
    let sum_sq_x = points.iter().map(|p| (p.x - mean_x).powi(2)).sum::<f64>();
    let products = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y));
    let slope = products.sum::<f64>() / sum_sq_x;
    let base = mean_y - slope * mean_x;
    let residuals = points.iter().map(|p| (p.y - base - slope * p.x).powi(2));
    let variance = residuals.sum::<f64>() / (n - 2.0);
    Some(Line {
        base,
        slope,
        slope_error: (variance / sum_sq_x).sqrt(),
    })
}
