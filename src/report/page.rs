//! The burn report as an HTML page with plots.

use std::fmt::Write as _;

use plotters::prelude::*;

use super::burn::{burn_rate_of, judged_steps};
use super::{BurnLine, Minute, Reporter, Series, Window, burn_line, current_minute};
use crate::config::Objective;

const PLOT_WIDTH: u32 = 420;
const PLOT_HEIGHT: u32 = 160;

/// The minimum upper end of a plot's vertical axis, as a burn rate, before the 10 % margin.
const MIN_AXIS_TOP: f64 = 2.0;

const STYLE: &str = "body{font:15px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}.fast{background:#fbd5d5}.slow{background:#fdf1c7}\
figure{display:inline-block;margin:.5em}figcaption{font-size:13px}";

/// Renders the report over all instances that answer.
pub(super) async fn render(reporter: &Reporter) -> String {
    let gathered = reporter.gather().await;
    let now = current_minute();
    let none = Series::default();
    let mut rows = String::new();
    let mut plots = String::new();
    for (name, objective, rate) in reporter.objectives() {
        let series = gathered.series.get(&name).unwrap_or(&none);
        let line = burn_line(&name, &objective, rate, series, now);
        rows.push_str(&row(&line));
        for (window, label) in [
            (Window::OneHour, "by minute, 1 hour"),
            (Window::ThreeDays, "by hour, 3 days"),
        ] {
            let points = points(&objective, rate, series, now, window);
            let svg = plot(&points, first_step(now, window), last_step(now, window));
            let _ = write!(
                plots,
                "<figure><figcaption>{}: burn rate {label}</figcaption>{svg}</figure>",
                escape(&name)
            );
        }
    }
    let missing = match gathered.missing.len() {
        0 => String::new(),
        n => format!("; {n} did not answer and are not included"),
    };
    format!(
        "<!doctype html><meta charset=utf-8><title>Service-level burn</title><style>{STYLE}</style>\
         <h1>Service-level burn</h1><p>Counts of {} instances{missing}. A burn rate of 1 uses up \
         the error budget in exactly its period.</p><table><tr><th>objective<th>target<th>requests\
         <th>missed<th>5 min<th>1 h<th>6 h<th>3 d<th>budget left<th>alert</tr>{rows}</table>{plots}",
        gathered.instances
    )
}

fn row(line: &BurnLine) -> String {
    let alert = line.alert;
    format!(
        "<tr class=\"{alert}\"><td>{}<td>{}<td>{}<td>{}<td>{:.2}<td>{:.2}<td>{:.2}<td>{:.2}<td>{:.1} %<td>{alert}</tr>",
        escape(&line.objective),
        line.target,
        line.total,
        line.bad,
        line.burn_5m,
        line.burn_1h,
        line.burn_6h,
        line.burn_3d,
        line.budget_left * 100.0
    )
}

fn points(
    objective: &Objective,
    rate: Option<u64>,
    series: &Series,
    now: Minute,
    window: Window,
) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for (step, counts) in judged_steps(objective, rate, series, now, window) {
        points.push((step as f64, burn_rate_of(objective, counts)));
    }
    points
}

fn last_step(now: Minute, window: Window) -> f64 {
    match window {
        Window::FiveMinutes | Window::OneHour => now as f64,
        Window::SixHours | Window::ThreeDays => (now / 60) as f64,
    }
}

fn first_step(now: Minute, window: Window) -> f64 {
    let length = match window {
        Window::FiveMinutes | Window::OneHour => window.minutes(),
        Window::SixHours | Window::ThreeDays => window.minutes() / 60,
    };
    last_step(now, window) - length as f64
}

/// Draws burn rates as an SVG image. Returns an empty string if drawing fails.
fn plot(points: &[(f64, f64)], from: f64, to: f64) -> String {
    let mut svg = String::new();
    match draw(&mut svg, points, from, to) {
        Ok(()) => svg,
        Err(_) => String::new(),
    }
}

fn draw(
    svg: &mut String,
    points: &[(f64, f64)],
    from: f64,
    to: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let highest = points
        .iter()
        .map(|(_, burn)| *burn)
        .fold(MIN_AXIS_TOP, f64::max);
    let root = SVGBackend::with_string(svg, (PLOT_WIDTH, PLOT_HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(6)
        .y_label_area_size(34)
        .x_label_area_size(18)
        .build_cartesian_2d(from..to, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(4)
        .y_labels(4)
        .x_label_formatter(&|step| format!("{:.0}", step - to))
        .draw()?;
    chart.draw_series(LineSeries::new(
        [(from, 1.0), (to, 1.0)],
        RGBColor(200, 120, 0),
    ))?;
    chart.draw_series(LineSeries::new(
        points.iter().copied(),
        RGBColor(30, 90, 200),
    ))?;
    chart.draw_series(
        points
            .iter()
            .map(|p| Circle::new(*p, 2, RGBColor(30, 90, 200).filled())),
    )?;
    root.present()?;
    drop(chart);
    drop(root);
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('"', "&quot;")
}
