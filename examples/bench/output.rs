//! Output of tables and plots.

use std::path::Path;

use plotters::prelude::*;

use crate::Failure;

/// Writes rows as CSV and prints them as a Markdown table.
pub(crate) fn write_table(
    out: &Path,
    name: &str,
    header: &[&str],
    rows: &[Vec<String>],
) -> Result<(), Failure> {
    let mut writer = csv::Writer::from_path(out.join(name).with_extension("csv"))?;
    writer.write_record(header)?;
    println!("\n### {name}\n\n| {} |", header.join(" | "));
    println!("|{}", " --- |".repeat(header.len()));
    for row in rows {
        writer.write_record(row)?;
        println!("| {} |", row.join(" | "));
    }
    writer.flush()?;
    Ok(())
}

/// Named line of a plot.
pub(crate) struct Series {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Draws lines over a linear or, with `log`, logarithmic x axis.
pub(crate) fn draw_plot(
    out: &Path,
    name: &str,
    axes: (&str, &str),
    log: bool,
    series: &[Series],
) -> Result<(), Failure> {
    let file = out.join(name).with_extension("svg");
    let root = SVGBackend::new(&file, (640, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let scale = |x: f64| if log { x.log10() } else { x };
    let points = series.iter().flat_map(|s| &s.points);
    let points: Vec<_> = points.filter(|p| p.1.is_finite()).collect();
    let min_x = points
        .iter()
        .map(|p| scale(p.0))
        .fold(f64::INFINITY, f64::min);
    let max_x = points
        .iter()
        .map(|p| scale(p.0))
        .fold(f64::NEG_INFINITY, f64::max);
    let max_y = points.iter().map(|p| p.1).fold(0.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(min_x..max_x.max(min_x + 1e-6), 0.0..max_y.max(1e-9))?;
    let label = |x: &f64| {
        let x = if log { 10f64.powf(*x) } else { *x };
        format!("{x:.2}")
    };
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .x_label_formatter(&label)
        .draw()?;
    for (i, s) in series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = s.points.iter().map(|&(x, y)| (scale(x), y));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(s.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
