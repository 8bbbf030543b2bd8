//! An HTML page with a plot of each slope: the measured values and the fit at the same variables.

use super::{Results, Slope, Slopes};
use crate::error::Error;
use crate::page::plot;

/// Returns the page as HTML with embedded plots.
pub fn page(results: &Results) -> Result<String, Error> {
    let slopes = Slopes::from_results(results);
    let plots: String = slopes.all().into_iter().map(slope_plot).collect::<Result<_, _>>()?;
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>coralnotch capacity</title>\
         <body style=\"font-family:sans-serif;max-width:60em;margin:2em auto\"><h1>Slopes</h1>{plots}</body></html>\n"
    ))
}

/// Returns the plot of one slope over its first variable.
fn slope_plot(slope: &Slope) -> Result<String, Error> {
    let mut points = slope.points.clone();
    points.sort_by(|a, b| a.variables[0].total_cmp(&b.variables[0]));
    let measured = points.iter().map(|point| (point.variables[0], point.value)).collect();
    let fitted = slope
        .fit
        .map(|fit| points.iter().map(|point| (point.variables[0], fit.value_at(point.variables).max(0.0))).collect());
    let lines = [("measured", measured), ("fit", fitted.unwrap_or_default())];
    plot(slope.name, (slope.variable_names[0], slope.unit), &lines)
}
