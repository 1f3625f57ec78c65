package gang

import (
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// namedCrashes returns the crashes, each with the members placed on the worker that have never
// started there: the log shows them like all others.
func (s *step) namedCrashes() []*controlpb.WorkerCrash {
	type incarnation struct {
		worker string
		number int64
	}
	crashes := make([]*controlpb.WorkerCrash, 0, len(s.in.Crashes))
	byIncarnation := map[incarnation]*controlpb.WorkerCrash{}
	for _, crash := range s.in.Crashes {
		crash = proto.CloneOf(crash)
		crash.Runs = nil
		crashes = append(crashes, crash)
		byIncarnation[incarnation{crash.Worker, crash.Incarnation}] = crash
	}
	for _, job := range s.in.Jobs {
		r := s.runs[job.Id]
		if r == nil {
			continue
		}
		for _, m := range r.members {
			crash := byIncarnation[incarnation{m.placement.Worker, m.placement.Incarnation}]
			if crash != nil && s.neverStarted(r, m) {
				crash.Runs = append(crash.Runs, &controlpb.CrashedRun{Job: job.Id, Epoch: r.epoch, Task: m.placement.Task})
			}
		}
	}
	return crashes
}

// neverStarted reports whether certainly no start of the member has arrived at its worker.
// Workers that renew their leases by announcements get commands through other instances, whose
// answers don't show that.
func (s *step) neverStarted(r *run, m *member) bool {
	return s.in.LeaseExpired != nil && !r.inherited && !m.startSent && m.phase < phaseRunning
}
