package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A run that spans the slow period of its worker must take as long as its work says, or
// variants would be compared on ends that no worker reaches.
func TestTimeForWorkIsTheInverseOfWork(t *testing.T) {
	is := is.New(t)
	d := &Day{
		Deployment: &Deployment{SlowFactor: 5},
		speeds:     map[string]float64{"w": 1.6}, slow: map[string]window{"w": {4 * time.Second, 10 * time.Second}},
	}
	for from := time.Duration(0); from < 12*time.Second; from += 700 * time.Millisecond {
		for work := 100 * time.Millisecond; work < 15*time.Second; work *= 2 {
			done := d.workOn("w", from, from+d.timeFor("w", from, work))
			is.True((done - work).Abs() < time.Microsecond)
		}
	}
}
