package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/interference"
)

const (
	simWorkers = 40
	simSlots   = 8
	simClasses = 10
	simStep    = time.Second
)

// cluster simulates workers with random tasks, for which pairs are slowed down by a factor.
type cluster struct {
	random *rand.Rand
	model  interference.Model
	now    time.Time
	pairs  map[[2]int]float64
	// level is by how much a class is slower than estimated, speed the speed of a worker
	// that the model is not told, unevenness the deviation of the work of jobs.
	level      map[int]float64
	speed      map[int]float64
	unevenness float64
	// hanging workers are slow for hangs of each 60 s.
	hanging map[int]bool
	cpu     map[[2]int]float64
	tasks   [simWorkers][simSlots]*simTask
	made    int
}

type simTask struct {
	class    int
	job, key string
	work     time.Duration
	usual    time.Duration
	done     float64
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		random: rand.New(rand.NewPCG(seed, 2)), now: time.UnixMilli(1e12), pairs: map[[2]int]float64{},
		level: map[int]float64{}, speed: map[int]float64{}, unevenness: 0.15, hanging: map[int]bool{}, cpu: map[[2]int]float64{},
	}
}

func (c *cluster) start(class int) *simTask {
	c.made++
	usual := time.Duration(2000+800*class) * time.Millisecond
	work := usual.Seconds() * math.Exp(c.unevenness*c.random.NormFloat64())
	if slower, ok := c.level[class]; ok {
		work *= slower
	}
	name := fmt.Sprint(c.made)
	return &simTask{class: class, job: name, key: name, usual: usual, work: time.Duration(work * float64(time.Second))}
}

// run simulates a span in steps of one report for each worker.
func (c *cluster) run(span time.Duration) {
	for end := c.now.Add(span); c.now.Before(end); {
		c.now = c.now.Add(simStep)
		for worker := range c.tasks {
			c.model.Observe(c.step(worker))
		}
		c.model.Pairs(c.now)
	}
}

// step lets the tasks of a worker progress and reports it, in whole percent.
func (c *cluster) step(worker int) *interference.Observation {
	o := &interference.Observation{At: c.now, Worker: fmt.Sprint("w", worker), Span: simStep}
	slots := &c.tasks[worker]
	for i := range slots {
		if slots[i] == nil || slots[i].done >= 1 {
			slots[i] = nil
			if c.random.IntN(8) > 0 {
				slots[i] = c.start(c.random.IntN(simClasses))
			}
		}
	}
	for i, task := range slots {
		if task == nil {
			continue
		}
		rate, cpu := c.rate(worker, i)
		before := math.Floor(100 * task.done)
		task.done = min(task.done+rate*simStep.Seconds()/task.work.Seconds(), 1)
		o.Tasks = append(o.Tasks, interference.Task{
			Job: task.job, Key: task.key, Class: fmt.Sprint("c", task.class), Share: 1, Usual: task.usual,
			Progress: (math.Floor(100*task.done) - before) / 100, Measured: task.done < 1,
			CPUUsed: int64(1000 * cpu), CPUAsked: 1000,
		})
	}
	return o
}

func (c *cluster) rate(worker, slot int) (rate, cpu float64) {
	rate, cpu = 1, 0.9+0.1*c.random.Float64()
	if speed, ok := c.speed[worker]; ok {
		rate = speed
	}
	if c.hanging[worker] && c.now.Unix()%60 < 7 {
		rate /= 5
	}
	seen := map[int]bool{}
	for i, other := range c.tasks[worker] {
		if i == slot || other == nil || seen[other.class] {
			continue
		}
		seen[other.class] = true
		pair := [2]int{c.tasks[worker][slot].class, other.class}
		if slower, ok := c.pairs[pair]; ok {
			rate /= slower
		}
		if shortfall, ok := c.cpu[pair]; ok {
			cpu *= shortfall
		}
	}
	return rate, cpu
}

// addPairs makes some pairs of classes interfere; half of them take cpu from the victim.
func (c *cluster) addPairs() {
	for len(c.pairs) < 4 {
		pair := [2]int{c.random.IntN(simClasses), c.random.IntN(simClasses)}
		c.pairs[pair] = 1.3 + 0.7*c.random.Float64()
		if len(c.pairs)%2 == 0 {
			c.cpu[pair] = 1 / c.pairs[pair]
		}
	}
}

// counts are the outcomes of a detection.
type counts struct{ right, wrong, missed int }

func (n *counts) add(c *cluster, found func(interference.Pair) bool) {
	detected := map[[2]int]bool{}
	for _, pair := range c.model.Pairs(c.now) {
		if found(pair) {
			var key [2]int
			_, _ = fmt.Sscanf(pair.Victim+" "+pair.Aggressor, "c%d c%d", &key[0], &key[1])
			detected[key] = true
		}
	}
	for key := range detected {
		if _, ok := c.pairs[key]; ok {
			n.right++
		} else {
			n.wrong++
		}
	}
	n.missed += len(c.pairs) - (len(detected) - wrongOf(c, detected))
}

func wrongOf(c *cluster, detected map[[2]int]bool) (wrong int) {
	for key := range detected {
		if _, ok := c.pairs[key]; !ok {
			wrong++
		}
	}
	return wrong
}

func (n *counts) precision() float64 { return float64(n.right) / float64(max(n.right+n.wrong, 1)) }
func (n *counts) recall() float64    { return float64(n.right) / float64(max(n.right+n.missed, 1)) }

func interferes(pair interference.Pair) bool { return pair.Interferes }

// cpuAlone detects pairs by the shortfall of cpu alone, the alternative without progress.
func cpuAlone(pair interference.Pair) bool {
	return pair.Samples > 12 && pair.CPU >= 0 && pair.CPU < 0.9*pair.CPUWithout
}

// causes are the other reasons for slow tasks, each of which must not be taken for
// interference and must not hide it.
var causes = map[string]func(c *cluster){
	"none": func(*cluster) {},
	"slow workers": func(c *cluster) {
		for worker := range 4 {
			c.speed[worker] = 0.5
		}
	},
	"workers that hang at times": func(c *cluster) {
		for worker := range 4 {
			c.hanging[worker] = true
		}
	},
	"uneven tasks":                    func(c *cluster) { c.unevenness = 0.6 },
	"wrong estimates":                 func(c *cluster) { c.level[1], c.level[2] = 4, 0.25 },
	"a class that is slow throughout": func(c *cluster) { c.level[3] = 2.5 },
}

// Over 20 seeds and each other cause of slow tasks, the pairs that interfere are found and
// hardly any others; without such pairs none are reported.
func TestPairsAreToldApartFromOtherCauses(t *testing.T) {
	for cause, apply := range causes {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var found, control, byCPU counts
			for seed := range uint64(20) {
				c := newCluster(seed)
				c.addPairs()
				apply(c)
				c.run(90 * time.Second)
				found.add(c, interferes)
				byCPU.add(c, cpuAlone)
				c = newCluster(seed)
				apply(c)
				c.run(90 * time.Second)
				control.add(c, interferes)
			}
			t.Logf("precision %.3f recall %.3f; false pairs in controls %d; cpu alone: precision %.3f recall %.3f",
				found.precision(), found.recall(), control.wrong, byCPU.precision(), byCPU.recall())
			is.True(found.precision() >= 0.95)
			is.True(found.recall() >= 0.9)
			is.True(control.wrong <= 1)
		})
	}
}

// A pair that stops to interfere must be forgotten, and one that begins must be found, or
// the classes would be kept apart by what they were long ago.
func TestChangedBehaviourIsFollowed(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.pairs[[2]int{2, 5}] = 1.5
	c.run(90 * time.Second)
	is.Equal(names(c), "c2<c5 ")
	c.pairs = map[[2]int]float64{{7, 1}: 1.5}
	c.run(6 * time.Minute)
	is.Equal(names(c), "c7<c1 ")
}

func names(c *cluster) (list string) {
	for _, pair := range c.model.Pairs(c.now) {
		if pair.Interferes {
			list += pair.Victim + "<" + pair.Aggressor + " "
		}
	}
	return list
}

// One worker on which a pair meets and is slow says nothing about the pair, however often
// it is seen there.
func TestOneWorkerIsNoEvidence(t *testing.T) {
	is := is.New(t)
	var model interference.Model
	now := time.UnixMilli(1e12)
	for second := range 600 {
		now = now.Add(time.Second)
		for worker := range 20 {
			o := &interference.Observation{At: now, Worker: fmt.Sprint(worker), Span: time.Second}
			progress := 0.2
			if worker == 0 {
				progress = 0.1
				o.Tasks = append(o.Tasks, interference.Task{Key: "b", Class: "b", Share: 1})
			}
			key := fmt.Sprint(worker, "-", second/4)
			o.Tasks = append(o.Tasks, interference.Task{Job: key, Key: key, Class: "a", Share: 1, Measured: true, Progress: progress, Usual: 5 * time.Second, CPUUsed: -1})
			model.Observe(o)
		}
		for _, pair := range model.Pairs(now) {
			is.True(!pair.Interferes)
			is.True(pair.CPU < 0) // no cpu was reported
		}
	}
}

// More classes than fit, and workers and jobs that come and go, must not let the state
// grow without bound.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	var model interference.Model
	now := time.UnixMilli(1e12)
	for i := range 20_000 {
		now = now.Add(100 * time.Millisecond)
		o := &interference.Observation{At: now, Worker: fmt.Sprint(i), Span: time.Second}
		for class := range 2 {
			name := fmt.Sprint((i + class*7) % 200)
			o.Tasks = append(o.Tasks, interference.Task{Job: fmt.Sprint(i), Key: "k", Class: name, Share: 1, Measured: true, Progress: 0.2, Usual: 5 * time.Second})
		}
		model.Observe(o)
	}
	is.True(model.Ignored > 0)
	is.True(len(model.Pairs(now)) <= interference.MaxClasses*interference.MaxClasses)
	workers, jobs := model.Size()
	is.True(workers <= 900)
	is.True(jobs <= 900)
}

// BenchmarkFullSize observes 1,900 workers with ten tasks each, of all classes that the
// model holds, and fits the model once.
func BenchmarkFullSize(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	var model interference.Model
	observations := make([]*interference.Observation, 1900)
	for worker := range observations {
		o := &interference.Observation{Worker: fmt.Sprint(worker), Span: time.Second}
		for task := range 10 {
			key := fmt.Sprint(worker, "-", task)
			o.Tasks = append(o.Tasks, interference.Task{
				Job: key, Key: key, Class: fmt.Sprint(random.IntN(interference.MaxClasses)), Share: 1, Measured: true,
				Progress: 0.1 + random.Float64()/10, Usual: 8 * time.Second, CPUUsed: 900, CPUAsked: 1000,
			})
		}
		observations[worker] = o
	}
	now := time.UnixMilli(1e12)
	for b.Loop() {
		now = now.Add(time.Second)
		for _, o := range observations {
			o.At = now
			model.Observe(o)
		}
		model.Pairs(now)
	}
}
