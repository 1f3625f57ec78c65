package timeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/experiment/timeline"
)

func TestEventsAreOrderedByTimeThenInsertion(t *testing.T) {
	is := is.New(t)
	queue := timeline.Queue[string]{}
	queue.Add(2*time.Second, "c")
	queue.Add(time.Second, "a")
	queue.Add(2*time.Second, "d")
	queue.Add(time.Second, "b")
	is.Equal(queue.At(), time.Second)
	var got []string
	for queue.Len() > 0 {
		_, event := queue.Next()
		got = append(got, event)
	}
	is.Equal(got, []string{"a", "b", "c", "d"})
}
