package capacity

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Line is a least-squares line through the points of one role and metric over the sizes of
// a series.
type Line struct {
	Series    string
	Role      string
	Metric    string
	Points    []Point
	Intercept float64
	Slope     float64
	// Fit is the share of the variance that the line explains (R squared).
	Fit float64
}

// minVarianceExplained is the least share of variance for which growth counts as linear;
// other growth is shown in the table with its points only.
const minVarianceExplained = 0.9

// Linear reports whether growth may be extrapolated by the slope.
func (l *Line) Linear() bool { return l.Fit >= minVarianceExplained }

// At returns the line's value at a size.
func (l *Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

type lineKey struct{ series, role, metric string }

// Fit groups the points by series, role and metric and fits a least-squares line through
// each group. Several processes of one role count by their mean. Metrics that are always
// zero are left out.
func Fit(points []Point) []*Line {
	groups := map[lineKey][]Point{}
	for _, point := range points {
		key := lineKey{point.Series, point.Role, point.Metric}
		groups[key] = append(groups[key], point)
	}
	lines := make([]*Line, 0, len(groups))
	for key, group := range groups {
		if slices.ContainsFunc(group, func(p Point) bool { return p.Value != 0 }) {
			lines = append(lines, fitOne(key, meanBySize(group)))
		}
	}
	slices.SortFunc(lines, func(a, b *Line) int {
		return cmp.Or(cmp.Compare(a.Series, b.Series), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Metric, b.Metric))
	})
	return lines
}

// meanBySize replaces the points of each size by their mean, sorted by size.
func meanBySize(group []Point) []Point {
	bySize := map[float64][]float64{}
	for _, point := range group {
		bySize[point.Size] = append(bySize[point.Size], point.Value)
	}
	means := make([]Point, 0, len(bySize))
	for size, values := range bySize {
		point := group[0]
		point.Size = size
		point.Value = stat.Mean(values, nil)
		means = append(means, point)
	}
	slices.SortFunc(means, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return means
}

func fitOne(key lineKey, group []Point) *Line {
	line := &Line{Series: key.series, Role: key.role, Metric: key.metric, Points: group}
	var sizes, values []float64
	for _, point := range group {
		sizes = append(sizes, point.Size)
		values = append(values, point.Value)
	}
	if slices.Max(sizes) == slices.Min(sizes) {
		line.Intercept = stat.Mean(values, nil)
		return line
	}
	line.Intercept, line.Slope = stat.LinearRegression(sizes, values, nil, false)
	line.Fit = 1
	if stat.Variance(values, nil) > 0 {
		line.Fit = stat.RSquared(sizes, values, nil, line.Intercept, line.Slope)
	}
	return line
}
