package timeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/experiment/timeline"
)

func TestEventsComeByTimeAndThenAsAdded(t *testing.T) {
	is := is.New(t)
	queue := timeline.Queue[string]{}
	queue.Add(2*time.Second, "c")
	queue.Add(time.Second, "a")
	queue.Add(2*time.Second, "d")
	queue.Add(time.Second, "b")
	is.Equal(queue.At(), time.Second)
	var came []string
	for queue.Len() > 0 {
		_, event := queue.Next()
		came = append(came, event)
	}
	is.Equal(came, []string{"a", "b", "c", "d"})
}
