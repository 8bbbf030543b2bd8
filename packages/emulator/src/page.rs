//! A report as one HTML page with its plots inside.

use plotters::prelude::*;

use crate::error::Error;
use crate::load::{table, Report};

const SIZE: (u32, u32) = (900, 320);

fn failed(e: impl std::fmt::Display) -> Error {
    Error::Failed(format!("a plot: {e}"))
}

/// A plot of lines: title, axes, and each line's name with its points.
pub(crate) fn plot(title: &str, axes: (&str, &str), lines: &[(&str, Vec<(f64, f64)>)]) -> Result<String, Error> {
    let most = |f: fn(&(f64, f64)) -> f64| lines.iter().flat_map(|l| l.1.iter().map(f)).fold(0.0f64, f64::max);
    let (x, y) = (most(|p| p.0).max(1e-9), most(|p| p.1).max(1e-9));
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..x, 0.0..y * 1.05)
            .map_err(failed)?;
        chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw().map_err(failed)?;
        for (n, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
                .map_err(failed)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(failed)?;
        root.present().map_err(failed)?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page for one report, or for several side by side.
pub fn page(reports: &[(&str, &Report)]) -> Result<String, Error> {
    let seconds = |r: &Report| r.requests.iter().enumerate().map(|(t, n)| (t as f64, *n as f64)).collect();
    let each = |f: &dyn Fn(&Report) -> Vec<(f64, f64)>| -> Vec<(&str, Vec<(f64, f64)>)> {
        reports.iter().map(|(n, r)| (*n, f(r))).collect()
    };
    let requests = plot("Users' requests a second", ("seconds since ready", "requests"), &each(&seconds))?;
    let accept = plot("From arrival to acceptance", ("share of jobs", "ms"), &each(&|r| r.accept.curve.clone()))?;
    let answer = plot("From arrival to the final answer", ("share of jobs", "ms"), &each(&|r| r.answer.curve.clone()))?;
    let wrong: String = reports
        .iter()
        .flat_map(|(n, r)| r.wrong.iter().map(move |w| format!("<li>{}: {}</li>", escaped(n), escaped(w))))
        .collect();
    let wrong = match wrong.is_empty() {
        true => "<p>No rule broken, no answer wrong or missing.</p>".to_owned(),
        false => format!("<ul>{wrong}</ul>"),
    };
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>coralnotch load</title>\
         <body style=\"font-family:sans-serif;max-width:60em;margin:2em auto\"><h1>Load</h1>\
         <pre>{}</pre>{wrong}{requests}{accept}{answer}</body></html>\n",
        escaped(&table(reports))
    ))
}
