// Package settings reads the INI settings of one instance and checks all of
// them at start: every problem is reported in one go with file, section, key
// and reason.
package settings

import (
	"net/netip"
	"os"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/inifile"
)

// Settings of one instance.
type Settings struct {
	Instance  Instance
	Peers     map[string]netip.AddrPort
	Control   Control
	Upstreams Upstreams
	Requests  Requests
	Stop      Stop
	Log       Log
	TLS       TLS
	PeersTLS  PeersTLS
	// Leased is nil where workers renew leases by their announcements.
	Leased *Leased
	// Customers and Operators map a name to the SHA-256 of its token.
	Customers map[string][]byte
	Operators map[string][]byte
}

// Instance names this process and its addresses.
type Instance struct {
	Name       string
	DataCentre string
	ListenHTTP netip.AddrPort
	ListenPeer netip.AddrPort
	// DataFolder makes the instance a control replica; empty for none.
	DataFolder string
	// Descriptors is how many files and connections the process may hold; 0 where only
	// the kernel says.
	Descriptors int
}

// Control configures the replicated log.
type Control struct {
	// Voters are the instances that form the first quorum.
	Voters []string
	// Seeds are instances to ask for the log where nothing else is known; the
	// voters where there are none.
	Seeds []string
	// Tolerated is how many replicas may be lost at once; replicas join by
	// themselves until there are enough for that. 0 leaves it at the voters.
	Tolerated int
	// FreshnessBound is the oldest control state on which work is admitted.
	FreshnessBound time.Duration
	// ElectionTimeout is the shortest time without a leader's word.
	ElectionTimeout time.Duration
	// AutomaticRepair lets the leader replace a lost voter on its own.
	AutomaticRepair bool
	// RepairAfter is how long a voter may be silent before it is replaced, while
	// too little is known of how long its silences last.
	RepairAfter time.Duration
}

// Upstreams configures what workers and minions are told.
type Upstreams struct {
	// AnnounceEvery is how often an upstream announces itself.
	AnnounceEvery time.Duration
	// Lease is how long a worker may run a task without a renewal.
	Lease time.Duration
	// Token is the SHA-256 of what upstreams present; nil lets any announce.
	Token []byte
}

// Requests bounds the request path.
type Requests struct {
	MaxBodyBytes int64
	QueueLength  int
	// KeepAnswers is how long an answer can be fetched again.
	KeepAnswers time.Duration
	// KeepAnswersBytes bounds the answers that one instance keeps.
	KeepAnswersBytes int64
}

// Stop bounds a graceful stop.
type Stop struct {
	// Notice is how long the instance still serves after it says that it is not
	// ready: longer than the balancer takes to see it.
	Notice time.Duration
	// Grace is how long requests in flight may take to finish.
	Grace time.Duration
}

// Log configures logging.
type Log struct {
	Level  string
	Format string
	// Standard sends lines to standard output in place of standard error.
	Standard bool
}

// Leased is set where workers' leases are renewed by the leader and callers submit
// workflows to queues. An address that is zero is not served.
type Leased struct {
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Control   netip.AddrPort
	// Metrics serves counters and histograms as text.
	Metrics netip.AddrPort
	// AnnounceEvery is how often a worker announces itself.
	AnnounceEvery time.Duration
}

// Contacts are the instances that are known from the start.
func (c *Control) Contacts() []string {
	if len(c.Seeds) > 0 {
		return c.Seeds
	}
	return c.Voters
}

// WantedVoters is how many replicas shall vote.
func (c *Control) WantedVoters() int {
	if c.Tolerated > 0 {
		return 2*c.Tolerated + 1
	}
	return len(c.Voters)
}

// TLS names the files of the certificate for HTTP; empty for plain HTTP.
type TLS struct {
	Certificate string
	Key         string
}

// PeersTLS names the files for the links between instances: each shows its
// certificate and accepts only those that the authority signed. Empty for plain
// TCP.
type PeersTLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Problem is one thing wrong with the settings.
type Problem = inifile.Problem

// Problems is every problem found in one go.
type Problems = inifile.Problems

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		problems := Problems{{File: path, Reason: err.Error()}}
		return nil, failure.Wrap(failure.BadSettings, problems, "1 problem")
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file; name stands for it in problems.
func Parse(name string, text []byte) (*Settings, error) {
	sections, problems := inifile.Parse(name, text)
	r := newReader(name, sections, problems)
	s := r.settings()
	r.check(s)
	r.rejectUnknown()
	if len(r.problems) > 0 {
		return nil, failure.Wrap(failure.BadSettings, r.sorted(), "%d problems", len(r.problems))
	}
	return s, nil
}

func (r *reader) settings() *Settings {
	return &Settings{
		Instance: Instance{
			Name:       r.required("instance", "name"),
			DataCentre: r.required("instance", "data_centre"),
			ListenHTTP: r.address("instance", "listen_http"),
			ListenPeer: r.address("instance", "listen_peer"),
			DataFolder: r.text("instance", "data_folder", ""),
		},
		Peers: r.peers(),
		Control: Control{
			Voters:          r.list("control", "voters"),
			FreshnessBound:  r.duration("control", "freshness_bound", 3*time.Second),
			ElectionTimeout: r.duration("control", "election_timeout", 400*time.Millisecond),
			AutomaticRepair: r.choice("control", "repair", "manual", "automatic") == "automatic",
			RepairAfter:     r.duration("control", "repair_after", 10*time.Minute),
		},
		Upstreams: Upstreams{
			AnnounceEvery: r.duration("upstreams", "announce_every", time.Second),
			Lease:         r.duration("upstreams", "lease", 10*time.Second),
			Token:         r.token("upstreams", "token"),
		},
		Requests: Requests{
			MaxBodyBytes:     int64(r.number("requests", "max_body_bytes", 8<<20)),
			QueueLength:      r.number("requests", "queue_length", 1024),
			KeepAnswers:      r.duration("requests", "keep_answers", 10*time.Minute),
			KeepAnswersBytes: int64(r.number("requests", "keep_answers_bytes", 32<<20)),
		},
		Stop: Stop{
			Notice: r.duration("stop", "notice", 2*time.Second),
			Grace:  r.duration("stop", "grace", 30*time.Second),
		},
		Log: Log{
			Level:  r.choice("log", "level", "info", "panic", "fatal", "error", "warning", "debug", "trace"),
			Format: r.choice("log", "format", "text", "json"),
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
