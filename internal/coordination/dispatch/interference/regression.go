package interference

import (
	"math"
	"time"
)

const (
	// memorySamples and memoryTime bound what the regression of a class remembers: a
	// sample loses weight only as both newer samples arrive and time passes, so that
	// neither a burst nor a quiet time erases the estimate.
	memorySamples = 800
	memoryTime    = time.Minute
	// maxUnaged bounds the time that a burst of samples after a quiet time ages for.
	maxUnaged = 0.25
	// effectPrior is the weight, in samples, of the prior that a class has no effect on
	// another; levelPrior is that of a correct estimate of the run time.
	effectPrior = 6
	levelPrior  = 0.1
	// firstScale is the assumed deviation of samples before any; minScale keeps the limit
	// for outliers open where samples agree.
	firstScale = 0.5
	minScale   = 0.08
	// outlierLimit is the number of deviations at which residuals are clipped (Huber).
	outlierLimit = 2
	// settleSamples is the number of first samples of a class that are not clipped: its
	// level is not known yet.
	settleSamples = 20
	// clippedScale corrects the squares of clipped residuals: those of a normal distribution
	// would give too small a deviation, and false pairs.
	clippedScale = 1.15
	// scaleRate is the weight of a new sample in the deviation.
	scaleRate = 0.01
	// maxGain bounds the growing weight of new samples before all are scaled down.
	maxGain = 1e6

	// workerMemory is the time after which the offset of a worker has lost most of its
	// weight; temporary slowness lasts for some seconds. The offset of a job lasts as long
	// as the job: samples of a long task would count as independent otherwise, and uneven
	// tasks gave false pairs.
	workerMemory = 15 * time.Second
	jobMemory    = 24 * time.Hour
	// workerPrior is the weight, in samples, of the prior that a worker is no different from
	// others. That of a job is estimated, between the two limits.
	workerPrior = 3
	minJobPrior = 0.2
	maxJobPrior = 10
	// maxLaterWeight bounds the weight of later samples of a run, relative to the first.
	maxLaterWeight = 4
	// maxOffsetSamples bounds the weight of past samples in an offset.
	maxOffsetSamples = 20
)

// width is the number of coefficients: the level of the class, then the effects.
const width = MaxClasses + 1

// victim is the regression of the rates of one class on the classes beside it. Older
// samples lose weight: instead of scaling the sums down at each sample, the weight of new
// ones, gain, grows.
type victim struct {
	// products are the weighted sums of products of regressors, moments those of
	// regressors and values.
	products [width][width]float64
	moments  [width]float64
	gain     float64
	// scale is the deviation of the first samples of runs, and later that of the others,
	// which is less where tasks are uneven, since the offset of their job is known.
	scale, later float64
	samples      int
	last         time.Time
	// unaged is the time up to last, in multiples of memoryTime, that has not been aged for.
	unaged float64
	// coefficients are the result of the newest fit, and variances their variances in
	// units of scale squared.
	coefficients, variances [width]float64
	changed                 bool
	// evidence is that of each class beside the victim; its first element is that of all
	// samples.
	evidence [width]evidence
}

// jobPrior is the weight, in samples, of the prior that a job is as long as estimated: the
// ratio of the variances within and between jobs.
func (v *victim) jobPrior() float64 {
	within := v.later * v.later
	return max(minJobPrior, min(within/max(v.scale*v.scale-within, within/maxJobPrior), maxJobPrior))
}

// observe adds a sample, the first of its run or a later one, and returns its residual by
// the newest fit.
func (v *victim) observe(now time.Time, value float64, later bool, beside []presence) float64 {
	scale, weight := &v.scale, 1.0
	if later {
		scale = &v.later
		weight = min(v.scale*v.scale/(v.later*v.later), maxLaterWeight)
	}
	v.age(now, weight)
	residual := value - v.coefficients[0] - v.beside(beside)
	limit := outlierLimit * *scale
	clipped := max(-limit, min(limit, residual))
	if v.samples < settleSamples {
		clipped = residual
	}
	*scale = max(minScale, math.Sqrt((1-scaleRate)*(*scale)*(*scale)+scaleRate*clippedScale*clipped*clipped))
	value += clipped - residual
	weight *= v.gain
	v.products[0][0] += weight
	v.moments[0] += weight * value
	for _, p := range beside {
		i := p.class + 1
		v.products[0][i] += weight * p.seconds
		v.products[i][0] += weight * p.seconds
		v.moments[i] += weight * p.seconds * value
		for _, q := range beside {
			v.products[i][q.class+1] += weight * p.seconds * q.seconds
		}
	}
	v.samples++
	v.changed = true
	if v.samples <= settleSamples {
		v.fit()
	}
	return clipped
}

// beside returns the newest effect of the classes beside a task.
func (v *victim) beside(classes []presence) float64 {
	var sum float64
	for _, p := range classes {
		sum += v.coefficients[p.class+1] * p.seconds
	}
	return sum
}

// age raises the weight of new samples by what has arrived or passed, whichever is less.
func (v *victim) age(now time.Time, weight float64) {
	if v.gain == 0 {
		v.gain, v.last = 1, now
	}
	v.unaged = min(v.unaged+max(now.Sub(v.last), 0).Seconds()/memoryTime.Seconds(), maxUnaged)
	v.last = now
	aged := min(weight/memorySamples, v.unaged)
	v.unaged -= aged
	v.gain *= math.Exp(aged)
	if v.gain < maxGain {
		return
	}
	for i := range v.products {
		v.moments[i] /= v.gain
		for j := range v.products[i] {
			v.products[i][j] /= v.gain
		}
	}
	v.gain = 1
}

// forgetClass removes a class from the regressors.
func (v *victim) forgetClass(class int) {
	i := class + 1
	v.moments[i], v.coefficients[i], v.variances[i] = 0, 0, 0
	v.evidence[i] = evidence{}
	v.products[i] = [width]float64{}
	for j := range v.products {
		v.products[j][i] = 0
	}
}

// fit solves the ridge regression by a Cholesky decomposition. Classes that were never
// beside the victim are left out.
func (v *victim) fit() {
	v.changed = false
	used := make([]int, 0, width)
	for i := range v.products {
		if i == 0 || v.products[i][i] > 0 {
			used = append(used, i)
		}
	}
	n := len(used)
	lower := make([]float64, n*n)
	for i := range n {
		for j := range i + 1 {
			sum := v.products[used[i]][used[j]] / v.gain
			if i == j {
				sum += prior(i)
			}
			for k := range j {
				sum -= lower[i*n+k] * lower[j*n+k]
			}
			if i == j {
				lower[i*n+i] = math.Sqrt(max(sum, 1e-9))
			} else {
				lower[i*n+j] = sum / lower[j*n+j]
			}
		}
	}
	v.solve(used, lower)
}

func prior(index int) float64 {
	if index == 0 {
		return levelPrior
	}
	return effectPrior
}

// solve computes the coefficients and their variances from the decomposition.
func (v *victim) solve(used []int, lower []float64) {
	n := len(used)
	half := make([]float64, n)
	column := make([]float64, n)
	for i := range n {
		half[i] = v.moments[used[i]] / v.gain
		for k := range i {
			half[i] -= lower[i*n+k] * half[k]
		}
		half[i] /= lower[i*n+i]
	}
	for i := n - 1; i >= 0; i-- {
		for k := i + 1; k < n; k++ {
			half[i] -= lower[k*n+i] * half[k]
		}
		half[i] /= lower[i*n+i]
		v.coefficients[used[i]] = half[i]
	}
	// A variance is the squared length of a column of the inverse of lower.
	for j := range n {
		clear(column)
		var sum float64
		for i := j; i < n; i++ {
			if i == j {
				column[i] = 1
			}
			for k := j; k < i; k++ {
				column[i] -= lower[i*n+k] * column[k]
			}
			column[i] /= lower[i*n+i]
			sum += column[i] * column[i]
		}
		v.variances[used[j]] = sum
	}
}

// offset is the deviation of one worker or job from the model, with a prior of none.
type offset struct {
	sum, weight float64
	// touched is when a sample was added, seen when a report last named the source.
	touched, seen time.Time
}

func (o *offset) decay(now time.Time, memory time.Duration) float64 {
	return math.Exp(-max(now.Sub(o.touched), 0).Seconds() / memory.Seconds())
}

// value returns the offset; prior is the weight of the prior in samples.
func (o *offset) value(now time.Time, memory time.Duration, prior float64) float64 {
	decay := o.decay(now, memory)
	return o.sum * decay / (o.weight*decay + prior)
}

func (o *offset) add(now time.Time, memory time.Duration, residual float64) {
	decay := o.decay(now, memory)
	if o.weight*decay > maxOffsetSamples {
		decay = maxOffsetSamples / o.weight
	}
	o.sum, o.weight, o.touched = o.sum*decay+residual, o.weight*decay+1, now
}
