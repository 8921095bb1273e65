//! Line chart of a report: the earned share of the value over time, one line for each policy.

use std::error::Error;

use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::{Palette, Palette99, SVGBackend};
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, WHITE};

use crate::report::{PolicyReport, Report, Value};

const SIZE_PX: (u32, u32) = (900, 420);

/// Draws a report as SVG.
///
/// # Errors
///
/// Fails if the plotting library cannot draw the chart.
///
/// # Examples
///
/// ```
/// use tanagerford_emulator::{load, plot, report};
///
/// let load = load::decode(include_bytes!("../loads/small.json")).unwrap();
/// let svg = plot::draw(&report::experiment(&load)).unwrap();
/// assert!(svg.starts_with("<svg"));
/// ```
pub fn draw(report: &Report) -> Result<String, Box<dyn Error + Send + Sync>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let series: Vec<(&str, Vec<f64>)> = report
            .policies
            .iter()
            .map(|policy| (policy.name.as_str(), share_by_second(policy)))
            .collect();
        let longest = series.iter().map(|(_, values)| values.len()).max();
        let end_s = f64::from(u32::try_from(longest.unwrap_or(1))?);
        let mut chart = ChartBuilder::on(&area)
            .caption(&report.load, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end_s, 0.0..1.02)?;
        chart
            .configure_mesh()
            .x_desc("second")
            .y_desc("earned share of the value")
            .draw()?;
        for (index, (name, values)) in series.into_iter().enumerate() {
            let color = Palette99::pick(index).stroke_width(2);
            let points = (0_u32..).map(f64::from).zip(values);
            chart
                .draw_series(LineSeries::new(points, color))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Returns the earned share of the value in each second, summed over all seeds.
fn share_by_second(policy: &PolicyReport) -> Vec<f64> {
    let longest = policy.runs.iter().map(|run| run.seconds.len()).max();
    let seconds = (0..longest.unwrap_or(0)).map(|second| {
        let windows = policy.runs.iter().filter_map(|run| run.seconds.get(second));
        let (owed, earned) = windows.fold((0.0, 0.0), |(owed, earned), value: &Value| {
            (owed + value.owed, earned + value.earned)
        });
        Value { owed, earned }.earned_share()
    });
    seconds.collect()
}
