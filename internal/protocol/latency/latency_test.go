package latency

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuantiles(t *testing.T) {
	is := is.New(t)
	h := New("latency_test")
	for range 99 {
		h.Record(2 * time.Millisecond)
	}
	h.Record(time.Hour)
	var shown struct {
		Count int     `json:"count"`
		P50   float64 `json:"p50_ms"`
		Max   float64 `json:"max_ms"`
	}
	is.NoErr(json.Unmarshal([]byte(h.String()), &shown))
	is.Equal(shown.Count, 100)
	is.True(shown.P50 > 1.9 && shown.P50 < 2.1)
	is.True(shown.Max > 59_000)
}
