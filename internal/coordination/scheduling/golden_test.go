package scheduling

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden digests of plans")

const (
	goldenWorlds  = 400
	uniformWorlds = 200
	goldenSteps   = 6
)

// goldenFile has a line for each case: its name and the digest of all its plans.
var goldenFile = filepath.Join("testdata", "plans.golden")

// Guards against changes of decisions by optimisations of the search: a change to how a
// pass searches must leave every plan unchanged. Seeded clusters of up to 120 workers
// run through several passes each, with arrivals, completions, stops, drained workers
// and changes of speed in between, and the digest of all their plans has to match the
// golden file. So do those of the benchmarks' snapshots. Intended policy changes update
// the file with -update.
func TestPlansMatchGoldenFile(t *testing.T) {
	var got []string
	for seed := range uint64(goldenWorlds) {
		got = append(got, fmt.Sprintf("seed-%d %s", seed, digestOf(t, newSeededWorld(seed).run())))
	}
	for seed := range uint64(uniformWorlds) {
		got = append(got, fmt.Sprintf("alike-%d %s", seed, digestOf(t, newUniformWorld(seed).run())))
	}
	got = append(got,
		fmt.Sprintf("units-350 %s", digestOf(t, []*Plan{Pass(busyUnits(350))})),
		fmt.Sprintf("running-19000 %s", digestOf(t, []*Plan{Pass(fullSizeSnapshot(19000, 250))})),
	)
	if *updateGolden {
		writeGolden(t, got)
	}
	golden, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(golden)), "\n")
	if len(got) != len(want) {
		t.Fatalf("%d cases, but %d in the golden file", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("digest of plans: %s, want %s", got[i], want[i])
		}
	}
}

func writeGolden(t *testing.T, lines []string) {
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

func digestOf(t *testing.T, plans []*Plan) string {
	sum := sha256.New()
	for i, plan := range plans {
		if plan.Breach != nil {
			t.Fatalf("plan %d: %v", i, plan.Breach)
		}
		fmt.Fprint(sum, planText(plan))
	}
	return hex.EncodeToString(sum.Sum(nil)[:8])
}

// planText formats everything that a plan decides.
func planText(plan *Plan) string {
	var text strings.Builder
	for _, assignment := range plan.Assignments {
		fmt.Fprintf(&text, "start %s %d", assignment.Job, assignment.Epoch)
		for _, placement := range assignment.Placements {
			fmt.Fprintf(&text, " %d:%s%v", placement.Task, placement.Worker, placement.Accelerators)
		}
		fmt.Fprintln(&text)
	}
	for _, preemption := range plan.Preemptions {
		fmt.Fprintln(&text, "stop", preemption.Job, preemption.Epoch)
	}
	fmt.Fprintln(&text, plan.Waiting, plan.Cells, plan.Reservations, plan.Unmet)
	return text.String()
}

// seededWorld generates a cluster and its events from one seed.
type seededWorld struct {
	random   *rand.Rand
	snapshot *Snapshot
	created  int
	// units is set for a system of workflow units, otherwise it is one of jobs and
	// cells.
	units bool
	// uniform is set for few job shapes, half of the jobs urgent, so that what a pass
	// caches for one job is used for another.
	uniform bool
}

func newSeededWorld(seed uint64) *seededWorld {
	return (&seededWorld{random: rand.New(rand.NewPCG(seed, 0)), units: seed%2 == 0}).setUp()
}

func newUniformWorld(seed uint64) *seededWorld {
	return (&seededWorld{random: rand.New(rand.NewPCG(seed, 1)), units: seed%2 == 0, uniform: true}).setUp()
}

func (w *seededWorld) setUp() *seededWorld {
	racks, perRack := 1+w.random.IntN(6), 1+w.random.IntN(10)
	w.snapshot = snapshotOf(testWorkers(1+w.random.IntN(2), racks, perRack, 0), w.customers())
	for i := range w.snapshot.Workers {
		w.setWorker(&w.snapshot.Workers[i])
	}
	w.snapshot.Rules.FragmentationWeight = uint32(w.random.IntN(101))
	w.addJobs(len(w.snapshot.Workers) * 2)
	return w
}

func pick[T any](w *seededWorld, from ...T) T { return from[w.random.IntN(len(from))] }

// oneIn returns true with probability 1/n.
func (w *seededWorld) oneIn(n int) bool { return w.random.IntN(n) == 0 }

func (w *seededWorld) customers() []*controlpb.Customer {
	if w.units {
		return []*controlpb.Customer{
			{Name: "a", Weight: 2, GuaranteedAccelerators: uint32(w.random.IntN(60))},
			{Name: "b", Weight: 1, MaxAccelerators: pick[uint32](w, 0, 0, 40)},
		}
	}
	var customers []*controlpb.Customer
	for _, name := range []string{"a", "b"} {
		customers = append(customers, guarantee(name, uint32(w.random.IntN(4)), uint32(1+w.random.IntN(8)),
			pick(w, anywhere, onWorker, inRack, inDataCentre)))
	}
	return customers
}

// speeds has a speed of each class.
var speeds = []float64{0, 0.3, 0.8, 1, 1.25}

func (w *seededWorld) setWorker(worker *Worker) {
	worker.Accelerators = pick[uint32](w, 0, 4, 8, 8, 8)
	worker.Speed = pick(w, speeds...)
	worker.Unavailable = w.oneIn(12)
	worker.Labels = pick(w, nil, nil, []string{"x"})
	worker.Services = pick(w, []string{"s"}, []string{"s", "z"})
}

func (w *seededWorld) addJobs(jobs int) {
	for range jobs {
		w.created++
		w.snapshot.Jobs = append(w.snapshot.Jobs, w.job(fmt.Sprint("j", w.created)))
	}
}

func (w *seededWorld) job(id string) *controlpb.Job {
	now := w.snapshot.Now.UnixMilli()
	job := waitingJob(id, pick(w, "a", "b", "c"), uint32(1+w.random.IntN(8)), uint32(w.random.IntN(5)),
		adjacency(pick(w, anywhere, anywhere, onWorker, inRack, inDataCentre)), cores(uint32(w.random.IntN(6))))
	job.Checkpointable, job.Idempotent, job.Urgent = w.oneIn(2), w.oneIn(2), w.oneIn(4)
	job.SubmittedMs = now - int64(w.random.IntN(10_000))
	job.Attempts = uint32(w.random.IntN(6))
	job.Priority = uint32(w.random.IntN(3))
	if w.oneIn(10) {
		job.NotBeforeMs = now + int64(w.random.IntN(2000))
	}
	if w.uniform {
		w.makeUniform(job)
	}
	if w.units {
		w.makeUnit(job)
		return job
	}
	job.RunTimeMs = int64(1+w.random.IntN(300)) * time.Minute.Milliseconds()
	job.SubmittedMs -= int64(w.random.IntN(600)) * time.Minute.Milliseconds()
	if w.oneIn(4) {
		job.DeadlineMs = now + int64(w.random.IntN(600))*time.Minute.Milliseconds()
	}
	return job
}

func (w *seededWorld) makeUniform(job *controlpb.Job) {
	job.Tasks, job.Accelerators, job.Cores = pick[uint32](w, 1, 3), pick[uint32](w, 1, 2), 1
	job.Adjacency = pick(w, anywhere, anywhere, inRack)
	job.Checkpointable, job.Urgent = !w.oneIn(6), w.oneIn(2)
}

func (w *seededWorld) makeUnit(job *controlpb.Job) {
	job.Workflow = fmt.Sprint("w", w.random.IntN(20))
	job.RunTimeMs = int64(500 + w.random.IntN(15_000))
	job.DeadlineMs = w.snapshot.Now.UnixMilli() + int64(w.random.IntN(30_000)) - 2000
	job.MaxAttempts = 2
	if w.uniform {
		return
	}
	job.TightlyCoupled = w.oneIn(4) && job.Adjacency != onWorker
	job.DataRack = pick(w, "", "", "r0", "r1")
	job.Service = pick(w, "", "s", "s", "z")
	job.Requirement = pick(w, "", "", "", "x")
	job.SpreadLimit = pick[uint32](w, 0, 0, 0, 1, 2)
	if w.oneIn(8) {
		failedOn(pick(w, w.snapshot.Workers...).ID)(job)
	}
}

// run returns the plans of goldenSteps consecutive passes.
func (w *seededWorld) run() []*Plan {
	var plans []*Plan
	for range goldenSteps {
		plans = append(plans, w.step())
	}
	return plans
}

// step runs a pass, applies its plan and advances the time by a second.
func (w *seededWorld) step() *Plan {
	plan := Pass(w.snapshot)
	w.applyPlan(plan)
	w.snapshot.Cells, w.snapshot.Reservations = plan.Cells, plan.Reservations
	w.snapshot.Now = w.snapshot.Now.Add(time.Second)
	w.finishSome()
	w.addJobs(w.random.IntN(len(w.snapshot.Workers) + 1))
	w.snapshot.Warm = map[string]bool{}
	for range w.random.IntN(3) {
		worker := &w.snapshot.Workers[w.random.IntN(len(w.snapshot.Workers))]
		worker.Speed, worker.Unavailable = pick(w, speeds...), w.oneIn(4)
		w.snapshot.Warm[pick(w, w.snapshot.Workers...).ID] = true
	}
	return plan
}

func (w *seededWorld) applyPlan(plan *Plan) {
	jobs := map[string]*controlpb.Job{}
	for _, job := range w.snapshot.Jobs {
		jobs[job.Id] = job
	}
	for _, assignment := range plan.Assignments {
		job := jobs[assignment.Job]
		job.State, job.Placements = controlpb.JobState_JOB_STATE_RUNNING, assignment.Placements
		job.Epoch++
		job.StartedMs = w.snapshot.Now.UnixMilli()
	}
	for _, preemption := range plan.Preemptions {
		jobs[preemption.Job].State = controlpb.JobState_JOB_STATE_STOPPING
	}
}

// finishSome completes a tenth of the running jobs and half of the stopping ones.
func (w *seededWorld) finishSome() {
	var remaining []*controlpb.Job
	for _, job := range w.snapshot.Jobs {
		switch {
		case job.State == controlpb.JobState_JOB_STATE_RUNNING && w.oneIn(10):
			continue
		case job.State == controlpb.JobState_JOB_STATE_STOPPING && w.oneIn(2):
			job.State, job.Placements = controlpb.JobState_JOB_STATE_WAITING, nil
		}
		remaining = append(remaining, job)
	}
	w.snapshot.Jobs = remaining
}
