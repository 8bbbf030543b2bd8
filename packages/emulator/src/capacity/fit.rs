//! A straight line through measured points: least squares in one or two variables.

/// A measured point: what it was measured at, and what was measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The variables; the second is 0 where there is one.
    pub at: [f64; 2],
    /// The value.
    pub value: f64,
}

/// A fit: `constant + slopes · at`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// At zero.
    pub constant: f64,
    /// For each of the variables.
    pub slopes: [f64; 2],
    /// Root of the mean square of what the line misses.
    pub residual: f64,
    /// Points.
    pub points: usize,
    /// Largest value of each variable that was measured.
    pub most: [f64; 2],
}

impl Fit {
    /// The value on the line.
    pub fn at(&self, at: [f64; 2]) -> f64 {
        self.constant + self.slopes[0] * at[0] + self.slopes[1] * at[1]
    }

    /// How far beyond the measured range this lies: the larger of both variables.
    pub fn beyond(&self, at: [f64; 2]) -> f64 {
        let factor = |i: usize| if self.most[i] > 0.0 { at[i] / self.most[i] } else { 0.0 };
        factor(0).max(factor(1))
    }
}

/// Unknowns: the constant and both slopes.
const UNKNOWNS: usize = 3;

/// The line through the points; `None` where they do not tell its slopes.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let second = points.iter().any(|p| p.at[1] != 0.0);
    let used = if second { UNKNOWNS } else { UNKNOWNS - 1 };
    if points.len() < used {
        return None;
    }
    let mut sums = [[0.0; UNKNOWNS + 1]; UNKNOWNS];
    for p in points {
        let row = [1.0, p.at[0], p.at[1], p.value];
        for (i, sum) in sums.iter_mut().enumerate() {
            for (j, s) in sum.iter_mut().enumerate() {
                *s += row[i] * row[j];
            }
        }
    }
    let x = solve(&mut sums, used)?;
    let mut fit = Fit { constant: x[0], slopes: [x[1], x[2]], residual: 0.0, points: points.len(), most: [0.0; 2] };
    let missed: f64 = points.iter().map(|p| (p.value - fit.at(p.at)).powi(2)).sum();
    fit.residual = (missed / points.len() as f64).sqrt();
    for p in points {
        fit.most = [fit.most[0].max(p.at[0]), fit.most[1].max(p.at[1])];
    }
    Some(fit)
}

/// Solves the first `n` equations by elimination, the largest pivot first.
fn solve(m: &mut [[f64; UNKNOWNS + 1]; UNKNOWNS], n: usize) -> Option<[f64; UNKNOWNS]> {
    for i in 0..n {
        let pivot = (i..n).max_by(|a, b| m[*a][i].abs().total_cmp(&m[*b][i].abs()))?;
        m.swap(i, pivot);
        if m[i][i].abs() < 1e-12 {
            return None;
        }
        for j in (0..n).filter(|j| *j != i) {
            let factor = m[j][i] / m[i][i];
            let row = m[i];
            for (to, from) in m[j].iter_mut().zip(row) {
                *to -= factor * from;
            }
        }
    }
    let mut x = [0.0; UNKNOWNS];
    for i in 0..n {
        x[i] = m[i][UNKNOWNS] / m[i][i];
    }
    Some(x)
}

#[cfg(test)]
mod tests;
