//! Linear least-squares fits in one or two variables.

/// A measured value with the variables at which it was measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Values of the variables; the second is 0 in a fit with one variable.
    pub variables: [f64; 2],
    /// Measured value.
    pub value: f64,
}

/// A linear function `constant + slopes · variables` fitted to points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value of the function where all variables are 0.
    pub constant: f64,
    /// Change of the value per unit of each variable.
    pub slopes: [f64; 2],
    /// Root mean square of the differences between the points and the function.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
    /// Largest measured value of each variable.
    pub max_variables: [f64; 2],
}

impl Fit {
    /// Returns the value of the function.
    pub fn value_at(&self, variables: [f64; 2]) -> f64 {
        self.constant + self.slopes[0] * variables[0] + self.slopes[1] * variables[1]
    }

    /// Returns how far beyond the measured range the variables lie: the larger ratio of a variable to
    /// its largest measured value, which is above 1 outside the range.
    pub fn extrapolation(&self, variables: [f64; 2]) -> f64 {
        let factor = |i: usize| if self.max_variables[i] > 0.0 { variables[i] / self.max_variables[i] } else { 0.0 };
        factor(0).max(factor(1))
    }
}

/// Number of unknowns of a fit in two variables: the constant and both slopes.
const UNKNOWNS: usize = 3;

/// Fits a linear function to the points; returns `None` if the points do not determine its slopes.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let has_second_variable = points.iter().any(|point| point.variables[1] != 0.0);
    let unknowns = if has_second_variable { UNKNOWNS } else { UNKNOWNS - 1 };
    if points.len() < unknowns {
        return None;
    }
    let mut equations = [[0.0; UNKNOWNS + 1]; UNKNOWNS];
    for point in points {
        let row = [1.0, point.variables[0], point.variables[1], point.value];
        for (i, equation) in equations.iter_mut().enumerate() {
            for (j, coefficient) in equation.iter_mut().enumerate() {
                *coefficient += row[i] * row[j];
            }
        }
    }
    let solution = solve(&mut equations, unknowns)?;
    let mut fit = Fit {
        constant: solution[0],
        slopes: [solution[1], solution[2]],
        residual: 0.0,
        points: points.len(),
        max_variables: [0.0; 2],
    };
    let squared_error: f64 = points.iter().map(|point| (point.value - fit.value_at(point.variables)).powi(2)).sum();
    fit.residual = (squared_error / points.len() as f64).sqrt();
    for point in points {
        fit.max_variables =
            [fit.max_variables[0].max(point.variables[0]), fit.max_variables[1].max(point.variables[1])];
    }
    Some(fit)
}

/// Solves the first `unknowns` equations by Gauss-Jordan elimination with partial pivoting; returns
/// `None` if they are singular.  The last column of `matrix` holds the right-hand sides.
fn solve(matrix: &mut [[f64; UNKNOWNS + 1]; UNKNOWNS], unknowns: usize) -> Option<[f64; UNKNOWNS]> {
    for i in 0..unknowns {
        let pivot = (i..unknowns).max_by(|a, b| matrix[*a][i].abs().total_cmp(&matrix[*b][i].abs()))?;
        matrix.swap(i, pivot);
        if matrix[i][i].abs() < 1e-12 {
            return None;
        }
        for j in (0..unknowns).filter(|j| *j != i) {
            let factor = matrix[j][i] / matrix[i][i];
            let row = matrix[i];
            for (target, source) in matrix[j].iter_mut().zip(row) {
                *target -= factor * source;
            }
        }
    }
    let mut solution = [0.0; UNKNOWNS];
    for i in 0..unknowns {
        solution[i] = matrix[i][UNKNOWNS] / matrix[i][i];
    }
    Some(solution)
}

#[cfg(test)]
mod tests;
