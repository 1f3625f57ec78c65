// Package settings reads the INI settings of one instance and validates them at
// startup. All problems are reported together, each with file, section, key and
// reason.
package settings

import (
	"net/netip"
	"os"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/inifile"
)

// Settings holds the settings of one instance.
type Settings struct {
	Instance  Instance
	Peers     map[string]netip.AddrPort
	Control   Control
	Upstreams Upstreams
	Requests  Requests
	Stop      Stop
	Log       Log
	// Scheduling switches optional parts of the scheduler on.
	Scheduling Scheduling
	TLS        TLS
	PeersTLS   PeersTLS
	// LeaderLeases is nil if workers renew their leases by announcements.
	LeaderLeases *LeaderLeases
	// Customers and Operators map a name to the SHA-256 of its token.
	Customers map[string][]byte
	Operators map[string][]byte
}

// Instance holds the name, the addresses and the resource limits of this process.
type Instance struct {
	Name       string
	DataCentre string
	ListenHTTP netip.AddrPort
	ListenPeer netip.AddrPort
	// DataFolder is where a control replica stores its data; empty if the instance
	// is not a replica.
	DataFolder string
	// Descriptors is the maximum number of open files and connections of the process;
	// 0 leaves only the kernel's limit.
	Descriptors int
	// MemoryMB is the memory that the process may use, in MB; 0 if it is not known.
	MemoryMB int
}

// Control configures the replicated log.
type Control struct {
	// Voters are the instances of the initial voter configuration.
	Voters []string
	// Seeds are the instances to contact for the log when no other is known; if
	// empty, the voters are used.
	Seeds []string
	// ToleratedFailures is the number of simultaneous replica failures to tolerate. Replicas
	// are added automatically until there are 2*ToleratedFailures+1 voters; 0 keeps the
	// number of Voters.
	ToleratedFailures int
	// FreshnessBound is the maximum age of the control state on which work is admitted.
	FreshnessBound time.Duration
	// ElectionTimeout is the minimum time without a message from a leader before a
	// replica starts an election.
	ElectionTimeout time.Duration
	// AutomaticRepair lets the leader replace a lost voter without an operator.
	AutomaticRepair bool
	// RepairAfter is the time since a voter's last message after which it is replaced,
	// while too little is known of how long outages last.
	RepairAfter time.Duration
	// MaxRepairDelay limits how long an unresponsive voter is waited for, whatever its
	// outages or its data centre suggest, where a spare can take its place.
	MaxRepairDelay time.Duration
	// OrderResendWindow is how long after an operator's order was committed the same order
	// may be a resend of it.
	OrderResendWindow time.Duration
	// DataCentres are the data centres of the deployment; empty if they are those of the
	// instances and upstreams.
	DataCentres []string
}

// Upstreams configures the announcements, leases and authentication of workers and
// minions.
type Upstreams struct {
	// AnnounceEvery is the interval between announcements of an upstream.
	AnnounceEvery time.Duration
	// Lease is how long a worker may run a task without renewing its lease.
	Lease time.Duration
	// Token is the SHA-256 of the token that upstreams present; nil accepts
	// announcements without a token.
	Token []byte
}

// Requests holds the limits of the request path.
type Requests struct {
	MaxBodyBytes int64
	QueueLength  int
	// KeepAnswers is how long an answer is retained so that it can be fetched again.
	KeepAnswers time.Duration
	// KeepAnswersBytes limits the total size of the answers that an instance retains.
	KeepAnswersBytes int64
}

// Stop holds the durations of a graceful shutdown.
type Stop struct {
	// Notice is how long the instance continues to serve after its readiness check
	// fails. It must be longer than a load balancer takes to detect that.
	Notice time.Duration
	// Grace is how long requests in flight may take to complete.
	Grace time.Duration
}

// Log configures logging.
type Log struct {
	Level  string
	Format string
	// Stdout writes log lines to standard output instead of standard error.
	Stdout bool
}

// Scheduling switches optional parts of the scheduler on; all are off by default.
type Scheduling struct {
	// ExpectedEnd places, orders and preempts work by when it is expected to end, given
	// the speeds of the workers.
	ExpectedEnd bool
	// ExpectedEndIfUneven does so only while the speeds of the workers differ widely.
	ExpectedEndIfUneven bool
	// AttemptPlacement chooses the worker of a second attempt with more care than that of
	// the first.
	AttemptPlacement bool
	// Interference keeps tasks apart that slow each other down.
	Interference bool
	// EvacuationDrain is how long work that can resume from a checkpoint may continue in a
	// data centre that is evacuated; 0 for no limit.
	EvacuationDrain time.Duration
	// MaxStand is how long work may stand that only workers can take which are kept out of use
	// because of their failures.
	MaxStand time.Duration
	// CheckpointInterval, RestoreTime and StopTime are what a stop and a restart cost: the
	// span of work between two checkpoints, the time of a start from a checkpoint, and the
	// longest time that a stop takes. 0 where they are not known.
	CheckpointInterval, RestoreTime, StopTime time.Duration
	// ColdStart is how long a cold worker takes to reach its full speed, and ColdPerSecond how
	// many more workers of a readmitted data centre get work in each second; 0 where workers
	// are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// LeaderLeases configures the mode in which the leader renews workers' leases and callers
// submit workflows to queues. A zero address is not served.
type LeaderLeases struct {
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Control   netip.AddrPort
	// Metrics is the address that serves counters and histograms as text.
	Metrics netip.AddrPort
	// AnnounceEvery is the interval between announcements of a worker.
	AnnounceEvery time.Duration
	// MaxLease is the longest lease that a worker grants, whatever it is asked for.
	MaxLease time.Duration
}

// SeedInstances returns the instances to contact at startup: Seeds, or Voters if there
// are no seeds.
func (c *Control) SeedInstances() []string {
	if len(c.Seeds) > 0 {
		return c.Seeds
	}
	return c.Voters
}

// WantedVoters returns the target number of voters.
func (c *Control) WantedVoters() int {
	if c.ToleratedFailures > 0 {
		return 2*c.ToleratedFailures + 1
	}
	return len(c.Voters)
}

// TLS holds the paths of the certificate and key for HTTPS; both empty for plain HTTP.
type TLS struct {
	Certificate string
	Key         string
}

// PeersTLS holds the paths of the files for mutual TLS between instances: each
// presents its certificate and accepts only certificates signed by the authority.
// All are empty for plain TCP.
type PeersTLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Problem is one error in the settings.
type Problem = inifile.Problem

// Problems is the list of all problems of a settings file.
type Problems = inifile.Problems

// Load reads and validates a settings file; its errors have code BadSettings.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		problems := Problems{{File: path, Reason: err.Error()}}
		return nil, failure.Wrap(failure.BadSettings, problems, "1 problem")
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a settings file. name is the file name
// shown in problems. Its errors have code BadSettings and wrap Problems.
func Parse(name string, text []byte) (*Settings, error) {
	sections, problems := inifile.Parse(name, text)
	r := newReader(name, sections, problems)
	s := r.settings()
	r.check(s)
	r.rejectUnknown()
	if len(r.problems) > 0 {
		return nil, failure.Wrap(failure.BadSettings, r.sortedProblems(), "%d problems", len(r.problems))
	}
	return s, nil
}

func (r *reader) settings() *Settings {
	expectedEnd := r.enum("scheduling", "expected_end", "no", "yes", "if_uneven")
	return &Settings{
		Instance: Instance{
			Name:       r.required("instance", "name"),
			DataCentre: r.required("instance", "data_centre"),
			ListenHTTP: r.address("instance", "listen_http"),
			ListenPeer: r.address("instance", "listen_peer"),
			DataFolder: r.text("instance", "data_folder", ""),
			MemoryMB:   r.positiveInt("instance", "memory_mb", 0),
		},
		Peers: r.peers(),
		Control: Control{
			Voters:            r.list("control", "voters"),
			FreshnessBound:    r.duration("control", "freshness_bound", 3*time.Second),
			ElectionTimeout:   r.duration("control", "election_timeout", 400*time.Millisecond),
			AutomaticRepair:   r.enum("control", "repair", "manual", "automatic") == "automatic",
			RepairAfter:       r.duration("control", "repair_after", 10*time.Minute),
			MaxRepairDelay:    r.duration("control", "max_repair_delay", 2*time.Hour),
			OrderResendWindow: r.duration("control", "order_resend_window", 3*time.Second),
		},
		Upstreams: Upstreams{
			AnnounceEvery: r.duration("upstreams", "announce_every", time.Second),
			Lease:         r.duration("upstreams", "lease", 10*time.Second),
			Token:         r.token("upstreams", "token"),
		},
		Requests: Requests{
			MaxBodyBytes:     int64(r.positiveInt("requests", "max_body_bytes", 8<<20)),
			QueueLength:      r.positiveInt("requests", "queue_length", 1024),
			KeepAnswers:      r.duration("requests", "keep_answers", 10*time.Minute),
			KeepAnswersBytes: int64(r.positiveInt("requests", "keep_answers_bytes", 32<<20)),
		},
		Stop: Stop{
			Notice: r.duration("stop", "notice", 2*time.Second),
			Grace:  r.duration("stop", "grace", 30*time.Second),
		},
		Log: Log{
			Level:  r.enum("log", "level", "info", "panic", "fatal", "error", "warning", "debug", "trace"),
			Format: r.enum("log", "format", "text", "json"),
		},
		Scheduling: Scheduling{
			ExpectedEnd:         expectedEnd == "yes",
			ExpectedEndIfUneven: expectedEnd == "if_uneven",
			AttemptPlacement:    r.yes("scheduling", "attempt_placement"),
			Interference:        r.yes("scheduling", "interference"),
			MaxStand:            r.duration("scheduling", "max_stand", 30*time.Second),
			EvacuationDrain:     r.duration("scheduling", "evacuation_drain", 0),
			CheckpointInterval:  r.duration("scheduling", "checkpoint_interval", 0),
			RestoreTime:         r.duration("scheduling", "restore_time", 0),
			StopTime:            r.duration("scheduling", "stop_time", 0),
			ColdStart:           r.duration("scheduling", "cold_start", 0),
			ColdPerSecond:       r.positiveNumber("scheduling", "cold_per_second", 0),
		},
		TLS: TLS{Certificate: r.text("tls", "certificate", ""), Key: r.text("tls", "key", "")},
		PeersTLS: PeersTLS{
			Certificate: r.text("peers_tls", "certificate", ""),
			Key:         r.text("peers_tls", "key", ""),
			Authority:   r.text("peers_tls", "authority", ""),
		},
		Customers: r.tokens("customers"),
		Operators: r.tokens("operators"),
	}
}
