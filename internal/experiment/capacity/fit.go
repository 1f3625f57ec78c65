package capacity

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Line is a fit through the points of one role and metric over the sizes of a
// series.
type Line struct {
	Series    string
	Role      string
	Metric    string
	Points    []Point
	Intercept float64
	Slope     float64
	// Fit is the share of the variance that the line explains.
	Fit float64
}

// straight is the least share of variance that still counts as a line; what
// grows otherwise is shown as it is.
const straight = 0.9

// Straight tells whether growth may be extrapolated by the slope.
func (l *Line) Straight() bool { return l.Fit >= straight }

// At is the line's value at a size.
func (l *Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

type lineKey struct{ series, role, metric string }

// Fit groups the points and fits a least-squares line through each group. Of
// several processes in one role the mean counts; a metric that stays at zero
// has nothing to tell and is left out.
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

// meanBySize joins the points of one size into their mean, sizes ascending.
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
