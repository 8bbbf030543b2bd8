//! Renders load reports as one HTML page with embedded SVG plots.

use plotters::prelude::*;

use crate::error::Error;
use crate::load::{table, Report};

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 320);

fn plot_error(e: impl std::fmt::Display) -> Error {
    Error::Failed(format!("cannot draw a plot: {e}"))
}

/// Draws a line plot and returns it as SVG.  `axes` holds the labels of the x and the y axis; `lines`
/// holds the name and the points of each line.
///
/// # Errors
///
/// Returns [`Error::Failed`] if the plot cannot be drawn.
pub(crate) fn plot(title: &str, axes: (&str, &str), lines: &[(&str, Vec<(f64, f64)>)]) -> Result<String, Error> {
    let max_of = |f: fn(&(f64, f64)) -> f64| lines.iter().flat_map(|l| l.1.iter().map(f)).fold(0.0f64, f64::max);
    let (x, y) = (max_of(|p| p.0).max(1e-9), max_of(|p| p.1).max(1e-9));
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..x, 0.0..y * 1.05)
            .map_err(plot_error)?;
        chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw().map_err(plot_error)?;
        for (n, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
                .map_err(plot_error)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(plot_error)?;
        root.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns the HTML page for one or more reports, each with its name: a table, the problems found, and
/// plots with a line for each report.
///
/// # Errors
///
/// Returns [`Error::Failed`] if a plot cannot be drawn.
pub fn page(reports: &[(&str, &Report)]) -> Result<String, Error> {
    let requests_by_second = |r: &Report| r.requests.iter().enumerate().map(|(t, n)| (t as f64, *n as f64)).collect();
    let plot_lines = |f: &dyn Fn(&Report) -> Vec<(f64, f64)>| -> Vec<(&str, Vec<(f64, f64)>)> {
        reports.iter().map(|(n, r)| (*n, f(r))).collect()
    };
    let requests = plot(
        "Users' requests per second",
        ("seconds since the cluster was ready", "requests"),
        &plot_lines(&requests_by_second),
    )?;
    let accept =
        plot("Time from arrival to acceptance", ("share of jobs", "ms"), &plot_lines(&|r| r.accept.curve.clone()))?;
    let answer = plot(
        "Time from arrival to the final answer",
        ("share of jobs", "ms"),
        &plot_lines(&|r| r.answer.curve.clone()),
    )?;
    let wrong: String = reports
        .iter()
        .flat_map(|(n, r)| r.wrong.iter().map(move |w| format!("<li>{}: {}</li>", escape_html(n), escape_html(w))))
        .collect();
    let wrong = match wrong.is_empty() {
        true => "<p>No violation of the protocol, and no wrong or missing answer.</p>".to_owned(),
        false => format!("<ul>{wrong}</ul>"),
    };
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>coralnotch load test</title>\
         <body style=\"font-family:sans-serif;max-width:60em;margin:2em auto\"><h1>Load test</h1>\
         <pre>{}</pre>{wrong}{requests}{accept}{answer}</body></html>\n",
        escape_html(&table(reports))
    ))
}
