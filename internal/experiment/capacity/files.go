package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const columns = 5

// WritePoints writes points as CSV without a header: series, size, role, metric, value.
func WritePoints(w io.Writer, points []Point) error {
	writer := csv.NewWriter(w)
	for _, p := range points {
		row := []string{p.Series, formatFloat(p.Size), p.Role, p.Metric, formatFloat(p.Value)}
		if err := writer.Write(row); err != nil {
			return failure.Wrap(failure.Internal, err, "write points")
		}
	}
	writer.Flush()
	if err := writer.Error(); err != nil {
		return failure.Wrap(failure.Internal, err, "write points")
	}
	return nil
}

// ReadPoints reads points in the format of WritePoints.
func ReadPoints(r io.Reader) ([]Point, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = columns
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "read points")
	}
	points := make([]Point, 0, len(rows))
	for _, row := range rows {
		size, sizeErr := strconv.ParseFloat(row[1], 64)
		value, valueErr := strconv.ParseFloat(row[4], 64)
		if sizeErr != nil || valueErr != nil {
			return nil, failure.New(failure.BadRequest, "%q is not a point", strings.Join(row, ","))
		}
		points = append(points, Point{Series: row[0], Size: size, Role: row[2], Metric: row[3], Value: value})
	}
	return points, nil
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }

// WriteTable writes the fitted lines as a Markdown table.
func WriteTable(w io.Writer, lines []*Line) error {
	var text strings.Builder
	text.WriteString("| series | role | metric | at 0 | slope per unit | variance explained | points |\n")
	text.WriteString("|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		shape := fmt.Sprintf("%.3f", l.Fit)
		if !l.Linear() {
			shape += " (no line)"
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %.4g | %.4g | %s | %s |\n", l.Series, l.Role, l.Metric, l.Intercept, l.Slope, shape, pointList(l.Points))
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return failure.Wrap(failure.Internal, err, "write table")
	}
	return nil
}

func pointList(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = fmt.Sprintf("%g: %.4g", p.Size, p.Value)
	}
	return strings.Join(parts, ", ")
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot draws one metric of one series, the measured points joined by lines for each role, to
// a file whose extension gives the format.
func Plot(path, series, metric string, lines []*Line) error {
	p := plot.New()
	p.Title.Text = metric + " by " + series
	p.X.Label.Text = series
	p.Y.Label.Text = metric
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var drawn []any
	for _, l := range lines {
		if l.Series != series || l.Metric != metric {
			continue
		}
		points := make(plotter.XYs, len(l.Points))
		for i, point := range l.Points {
			points[i] = plotter.XY{X: point.Size, Y: point.Value}
		}
		drawn = append(drawn, l.Role, points)
	}
	if err := plotutil.AddLinePoints(p, drawn...); err != nil {
		return failure.Wrap(failure.Internal, err, "plot %s", path)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return failure.Wrap(failure.Internal, err, "plot %s", path)
	}
	return nil
}
