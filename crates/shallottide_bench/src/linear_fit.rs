//! Linear regression.

/// Line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LinearFit {
    /// Value of the line at size 0.
    pub(crate) base: f64,
    /// Increase of the value per unit of size.
    pub(crate) per_unit: f64,
}

impl LinearFit {
    /// Fits a line to points of size and value.
    #[must_use]
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.iter().fold(0.0, |count, _| count + 1.0);
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let product = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
        let square = |(x, _): &(f64, f64)| (x - mean_x).powi(2);
        let per_unit =
            points.iter().map(product).sum::<f64>() / points.iter().map(square).sum::<f64>();
        Self {
            base: mean_y - per_unit * mean_x,
            per_unit,
        }
    }
}
