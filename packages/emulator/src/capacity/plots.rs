//! A page with a plot of each slope: what was measured, and the fit at the same places.

use super::{Results, Slope, Slopes};
use crate::error::Error;
use crate::page::plot;

/// The page, as HTML with its plots inside.
pub fn page(r: &Results) -> Result<String, Error> {
    let slopes = Slopes::of(r);
    let plots: String = slopes.all().into_iter().map(one).collect::<Result<_, _>>()?;
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>coralnotch capacity</title>\
         <body style=\"font-family:sans-serif;max-width:60em;margin:2em auto\"><h1>Slopes</h1>{plots}</body></html>\n"
    ))
}

/// One slope over its first variable.
fn one(s: &Slope) -> Result<String, Error> {
    let mut points = s.points.clone();
    points.sort_by(|a, b| a.at[0].total_cmp(&b.at[0]));
    let measured = points.iter().map(|p| (p.at[0], p.value)).collect();
    let fitted = s.fit.map(|f| points.iter().map(|p| (p.at[0], f.at(p.at).max(0.0))).collect());
    let lines = [("measured", measured), ("fit", fitted.unwrap_or_default())];
    plot(s.name, (s.by[0], s.unit), &lines)
}
