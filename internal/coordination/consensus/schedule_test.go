package consensus

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
)

// action is a kind of event in a schedule, with its relative frequency.
type action struct {
	weight int
	// optional actions are disabled in half of the schedules.
	optional bool
	run      func(*simulation, *replica)
}

var actions = []action{
	{weight: 700, run: func(sim *simulation, r *replica) { sim.withRandomMessage(func(i int) { sim.deliverAt(i) }) }},
	{weight: 150, run: (*simulation).tick},
	{weight: 60, run: func(sim *simulation, r *replica) { sim.propose(r) }},
	{weight: 30, run: func(sim *simulation, r *replica) { sim.read(r) }},
	{weight: 30, run: (*simulation).finishFetch},
	{weight: 40, run: func(sim *simulation, r *replica) { sim.restart() }},
	{weight: 15, run: func(sim *simulation, r *replica) { clear(sim.cutLinks) }},
	{weight: 30, optional: true, run: func(sim *simulation, r *replica) { sim.withRandomMessage(sim.drop) }},
	{weight: 20, optional: true, run: func(sim *simulation, r *replica) { sim.withRandomMessage(sim.duplicate) }},
	{weight: 25, optional: true, run: (*simulation).crash},
	{weight: 15, optional: true, run: (*simulation).start},
	{weight: 8, optional: true, run: func(sim *simulation, r *replica) { sim.cutLinks[[2]string{r.identity, sim.any().identity}] = true }},
	{weight: 5, optional: true, run: (*simulation).isolate},
	{weight: 8, optional: true, run: func(sim *simulation, r *replica) { r.paused = !r.paused }},
	{weight: 12, optional: true, run: (*simulation).snapshot},
	{weight: 60, optional: true, run: (*simulation).changeMembership},
	{weight: 5, optional: true, run: func(sim *simulation, r *replica) { _ = r.node.Transfer(sim.any().identity) }},
	{weight: 3, optional: true, run: (*simulation).loseDisk},
}

// typicalConfig is close to the default settings.
var typicalConfig = Config{ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 64, MaxInflight: 4}

// configs are the configurations of the schedules: the typical one, and one with
// frequent competing candidates and with logs that differ by single entries.
var configs = []Config{typicalConfig, {ElectionTicks: 3, HeartbeatTicks: 1, MaxAppendBytes: 1, MaxInflight: 4}}

const (
	scheduleSteps = 2500
	maxReplicas   = 8
)

// maxTimeoutGrowth is the factor by which an adaptive election timeout may grow.
const maxTimeoutGrowth = 4

// runSchedule runs one seeded schedule of faults, then stops the faults and checks that
// a leader emerges and that an entry is committed everywhere.
func runSchedule(seed uint64, faults injectedFaults) (coverage, string) {
	config := configs[seed/2%2]
	if faults.adaptiveTimeout {
		config.MaxElectionTicks = maxTimeoutGrowth * config.ElectionTicks
	}
	sim := newSimulation(seed, 3+2*int(seed%2), config, faults)
	sim.start(sim.add()) // a spare, not yet a member
	weights := make([]int, len(actions))
	total := 0
	for i, a := range actions {
		if !a.optional || sim.rng.IntN(2) == 0 {
			weights[i] = a.weight
		}
		total += weights[i]
	}
	for step := 0; step < scheduleSteps && sim.violation == ""; step++ {
		pick := sim.rng.IntN(total)
		i := 0
		for pick >= weights[i] {
			pick -= weights[i]
			i++
		}
		sim.runAction(actions[i])
	}
	if sim.violation == "" && sim.checkRecovery() {
		sim.recovered = 1
	}
	return sim.coverage, sim.violation
}

func (sim *simulation) runAction(a action) {
	if r := sim.any(); !r.down {
		a.run(sim, r)
	}
	for _, r := range sim.replicas {
		if !r.paused && sim.rng.IntN(2) == 0 {
			sim.processReady(r, false)
		}
		sim.checkReplica(r)
	}
}

func (sim *simulation) any() *replica { return sim.replicas[sim.rng.IntN(len(sim.replicas))] }

// withRandomMessage selects a message in transit, older ones more often.
func (sim *simulation) withRandomMessage(do func(int)) {
	if len(sim.network) > 0 {
		do(min(sim.rng.IntN(len(sim.network)), sim.rng.IntN(len(sim.network))))
	}
}

func (sim *simulation) drop(i int) { sim.network = slices.Delete(sim.network, i, i+1) }

func (sim *simulation) duplicate(i int) { sim.network = append(sim.network, sim.network[i]) }

func (sim *simulation) crash(r *replica) {
	r.crashAt = crashPoint(sim.rng.IntN(int(crashPoints)))
	r.down = r.crashAt == noCrash
}

func (sim *simulation) restart() {
	for _, r := range sim.replicas {
		if r.down && !r.diskLost {
			sim.start(r)
			return
		}
	}
}

func (sim *simulation) isolate(r *replica) {
	for _, other := range sim.replicas {
		sim.cutLinks[[2]string{r.identity, other.identity}] = true
		sim.cutLinks[[2]string{other.identity, r.identity}] = true
	}
}

// changeMembership proposes a random membership change, or the replacement of a voter
// that has lost its disk.
func (sim *simulation) changeMembership(r *replica) {
	next := &consensuspb.Configuration{Members: slices.Clone(r.node.configurations.newest().GetMembers())}
	chosen := sim.any()
	i := slices.IndexFunc(next.Members, func(m *consensuspb.Member) bool { return m.Identity == chosen.identity })
	switch {
	case i < 0 && !chosen.diskLost:
		next.Members = append(next.Members, &consensuspb.Member{Identity: chosen.identity})
	case i >= 0 && !next.Members[i].Voter:
		next.Members[i] = &consensuspb.Member{Identity: chosen.identity, Voter: true}
	case i >= 0 && (chosen.diskLost || len(voters(next)) > 2):
		next.Members = slices.Delete(next.Members, i, i+1)
	}
	_, _ = r.node.ProposeConfiguration(next)
}

// loseDisk permanently removes a replica and starts an empty one, provided that every
// configuration in use still has a quorum of voters with disks.
func (sim *simulation) loseDisk(r *replica) {
	if len(sim.replicas) >= maxReplicas && !sim.faults.reuseIdentity {
		return
	}
	r.diskLost = true
	if !sim.disksFormQuorums() {
		r.diskLost = false
		return
	}
	if sim.faults.reuseIdentity {
		r.diskLost, r.disk = false, disk{}
		sim.start(r)
		return
	}
	r.down = true
	sim.start(sim.add())
}

func (sim *simulation) disksFormQuorums() bool {
	for _, r := range sim.replicas {
		n := r.node
		inForce := append(slices.Clone(n.configurations.after(n.log.commit)), indexedConfiguration{configuration: n.configurations.at(n.log.commit)})
		for _, c := range inForce {
			identities := voters(c.configuration)
			remaining := slices.DeleteFunc(slices.Clone(identities), func(identity string) bool { return sim.find(identity).diskLost })
			if !r.diskLost && len(identities) > 0 && len(remaining) < quorumSize(len(identities)) {
				return false
			}
		}
	}
	return true
}

// checkRecovery stops the faults and checks that a leader emerges and commits within
// the time limit. It returns false if too many disks are lost for that.
func (sim *simulation) checkRecovery() bool {
	if !sim.disksFormQuorums() {
		return false
	}
	clear(sim.cutLinks)
	for _, r := range sim.replicas {
		r.paused, r.crashAt = false, noCrash
		if r.down && !r.diskLost {
			sim.start(r)
		}
	}
	limit := recoveryElections * max(sim.config.ElectionTicks, sim.config.MaxElectionTicks)
	target := entryID{}
	for range limit {
		sim.round()
		leader := sim.leader()
		if leader == nil || sim.violation != "" {
			continue
		}
		// A leader from before the recovery may still be replaced, and its proposal
		// overwritten.
		if target.term != leader.node.term && sim.propose(leader) {
			target = entryID{leader.node.log.last(), leader.node.term}
		}
		if target.term == leader.node.term && sim.appliedBy(leader, target.index) {
			return true
		}
	}
	sim.fail("no progress within %d ticks after the faults", limit)
	return true
}

// appliedBy reports whether all members with a disk have applied the index.
func (sim *simulation) appliedBy(leader *replica, index uint64) bool {
	for _, m := range leader.node.configurations.newest().Members {
		if r := sim.find(m.Identity); !r.diskLost && r.history.applied < index {
			return false
		}
	}
	return true
}
