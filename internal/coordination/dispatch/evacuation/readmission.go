package evacuation

import (
	"cmp"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Held returns the workers of readmitted data centres that may not be given work yet. One
// worker is admitted at once and ColdPerSecond more in each second, rack by rack, so that
// gangs find room in one rack early. A worker that holds a task is warm and always admitted.
// Without the steps, a whole data centre of slow workers would take work that ends sooner
// where it would have waited.
func (c Config) Held(now time.Time, records []*controlpb.Evacuation, live []*peerpb.Upstream, jobs []*controlpb.Job) map[string]bool {
	admitted := map[string]int{}
	for _, record := range records {
		if count, stepwise := c.admitted(now, record); stepwise && count < len(live) {
			admitted[record.DataCentre] = count
		}
	}
	if len(admitted) == 0 {
		return nil
	}
	holding := map[string]bool{}
	for _, job := range jobs {
		for _, placement := range job.Placements {
			holding[placement.Worker] = true
		}
	}
	order := slices.SortedFunc(slices.Values(live), func(a, b *peerpb.Upstream) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Id, b.Id))
	})
	held := map[string]bool{}
	for _, worker := range order {
		left, stepwise := admitted[worker.DataCentre]
		switch {
		case !stepwise:
		case holding[worker.Id]:
			admitted[worker.DataCentre] = max(left-1, 0)
		case left > 0:
			admitted[worker.DataCentre]--
		default:
			held[worker.Id] = true
		}
	}
	return held
}

// admitted returns how many workers of a readmitted data centre may be given work, and
// whether their number is limited.
func (c Config) admitted(now time.Time, record *controlpb.Evacuation) (count int, stepwise bool) {
	if record.Active || record.FinishedMs == 0 || c.ColdStart <= 0 || c.ColdPerSecond <= 0 {
		return 0, false
	}
	since := max(now.Sub(time.UnixMilli(record.FinishedMs)), 0)
	return 1 + int(c.ColdPerSecond*since.Seconds()), true
}
