package slots

import (
	"fmt"
	"io"
	"time"
)

// The parameters of the report: the required number of minions, and hops of 1 ms.
const (
	minions = 50
	slots   = 8
	hop     = time.Millisecond
	// highLoad is the load at which latencies are compared.
	highLoad = 0.95
	// overload is the load at which goodput is measured.
	overload = 2
	// deadlineServiceTimes is the deadline at overload, in mean service times.
	deadlineServiceTimes = 10
	// firstCustomerShare is the load that the first customer offers at overload, as a
	// share of all slots. Its fair share, with 4 customers, is a quarter.
	firstCustomerShare = 0.2
	customers          = 4
	// The numbers of entry instances: the current one, and several hundred. With many
	// instances the simulation is slow, so requests are divided by manyReduction.
	fewInstances  = 9
	manyInstances = 300
	manyReduction = 130
)

// Report writes the tables that docs/MEASUREMENTS.md shows.
func Report(out io.Writer, seed uint64, requests int) {
	for _, mean := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		for _, variation := range []float64{0.2, 1} {
			writeLatencies(out, highLoadConfig(seed, requests, fewInstances, mean, variation))
		}
	}
	writeOverload(out, seed, requests)
	writeLatencies(out, highLoadConfig(seed, requests/manyReduction, manyInstances, 50*time.Millisecond, 0.2))
}

// highLoadConfig is a run in which almost every slot is busy.
func highLoadConfig(seed uint64, requests, instances int, mean time.Duration, variation float64) Config {
	return Config{
		Seed: seed, Instances: instances, Minions: minions, Slots: slots, Mean: mean, Variation: variation,
		Hop: hop, Load: highLoad, Requests: requests, Customers: customers,
	}
}

func writeLatencies(out io.Writer, c Config) {
	fmt.Fprintf(out, "\n%d instances, service %v, variation %.1f, load %.2f\n\n", c.Instances, c.Mean, c.Variation, c.Load)
	fmt.Fprintln(out, "| way | p50 | p99 | p99 to single queue | random's p99 to it | most over slots | messages per request |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	results := map[string]Result{}
	for _, name := range Order {
		results[name] = Policies[name](c)
	}
	single, random := results["single queue"], results["random"]
	for _, name := range Order {
		r := results[name]
		fmt.Fprintf(out, "| %s | %.1f ms | %.1f ms | %.2f | %.2f | %d | %.2f |\n", name, ms(r.P50), ms(r.P99),
			ratio(r.P99, single.P99), ratio(random.P99, r.P99), max(r.MaxQueued, 0), r.Messages)
	}
}

func writeOverload(out io.Writer, seed uint64, requests int) {
	fmt.Fprintf(out, "\nLoad %.1f, deadline %d service times, first customer brings %.2f of the slots\n\n", float64(overload), deadlineServiceTimes, firstCustomerShare)
	fmt.Fprintln(out, "| service | variation | slots in use | goodput to capacity | first customer answered | most over slots |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, mean := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		for _, variation := range []float64{0.2, 1} {
			r := Credits(Overload(seed, requests, mean, variation))
			fmt.Fprintf(out, "| %v | %.1f | %.2f%% | %.3f | %.2f%% | %d |\n", mean, variation, 100*r.Utilisation, r.Goodput, 100*r.Guaranteed, max(r.MaxQueued, 0))
		}
	}
}

// Overload is the configuration of a run at twice the capacity.
func Overload(seed uint64, requests int, mean time.Duration, variation float64) Config {
	return Config{
		Seed: seed, Instances: fewInstances, Minions: minions, Slots: slots, Mean: mean, Variation: variation, Hop: hop,
		Load: overload, Requests: requests, Customers: customers, Deadline: deadlineServiceTimes * mean, Guaranteed: firstCustomerShare,
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
