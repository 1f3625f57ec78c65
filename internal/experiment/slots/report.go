package slots

import (
	"fmt"
	"io"
	"time"
)

// The sizes of the report: the brief's minions, and hops of 1 ms.
const (
	minions = 50
	slots   = 8
	hop     = time.Millisecond
	// nearlyBusy is the load at which waiting times are compared.
	nearlyBusy = 0.95
	// overload is the load at which goodput is measured.
	overload = 2
	// patience is the deadline at overload, in service times.
	patience = 10
	// guaranteed is what the first customer brings at overload, of all slots. Its
	// fair share of 4 customers is a quarter.
	guaranteed = 0.2
	customers  = 4
	// The numbers of entry instances: today's, and several hundred. With many the
	// loop is slow, so a run has fewer requests by this factor.
	fewInstances  = 9
	manyInstances = 300
	manyFewer     = 130
)

// Report writes the tables that docs/MEASUREMENTS.md shows.
func Report(out io.Writer, seed uint64, requests int) {
	for _, mean := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		for _, variation := range []float64{0.2, 1} {
			waiting(out, nearly(seed, requests, fewInstances, mean, variation))
		}
	}
	overloaded(out, seed, requests)
	waiting(out, nearly(seed, requests/manyFewer, manyInstances, 50*time.Millisecond, 0.2))
}

// nearly is the run at almost every slot busy.
func nearly(seed uint64, requests, instances int, mean time.Duration, variation float64) Config {
	return Config{
		Seed: seed, Instances: instances, Minions: minions, Slots: slots, Mean: mean, Variation: variation,
		Hop: hop, Load: nearlyBusy, Requests: requests, Customers: customers,
	}
}

func waiting(out io.Writer, c Config) {
	fmt.Fprintf(out, "\n%d instances, service %v, variation %.1f, load %.2f\n\n", c.Instances, c.Mean, c.Variation, c.Load)
	fmt.Fprintln(out, "| way | p50 | p99 | p99 to single queue | random's p99 to it | most over slots | messages per request |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	results := map[string]Result{}
	for _, name := range Order {
		results[name] = Ways[name](c)
	}
	single, random := results["single queue"], results["random"]
	for _, name := range Order {
		r := results[name]
		fmt.Fprintf(out, "| %s | %.1f ms | %.1f ms | %.2f | %.2f | %d | %.2f |\n", name, ms(r.P50), ms(r.P99),
			ratio(r.P99, single.P99), ratio(random.P99, r.P99), max(r.MaxOver, 0), r.Messages)
	}
}

func overloaded(out io.Writer, seed uint64, requests int) {
	fmt.Fprintf(out, "\nLoad %.1f, deadline %d service times, first customer brings %.2f of the slots\n\n", float64(overload), patience, guaranteed)
	fmt.Fprintln(out, "| service | variation | slots in use | goodput to capacity | first customer answered | most over slots |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, mean := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		for _, variation := range []float64{0.2, 1} {
			r := Credits(Overload(seed, requests, mean, variation))
			fmt.Fprintf(out, "| %v | %.1f | %.2f%% | %.3f | %.2f%% | %d |\n", mean, variation, 100*r.Use, r.Goodput, 100*r.Guaranteed, max(r.MaxOver, 0))
		}
	}
}

// Overload is the run at twice the capacity.
func Overload(seed uint64, requests int, mean time.Duration, variation float64) Config {
	return Config{
		Seed: seed, Instances: fewInstances, Minions: minions, Slots: slots, Mean: mean, Variation: variation, Hop: hop,
		Load: overload, Requests: requests, Customers: customers, Deadline: patience * mean, Guaranteed: guaranteed,
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
