// Package settings reads the INI settings of one instance and checks all of
// them at start: every problem is reported in one go with file, section, key
// and reason.
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"pinewinch.example/pinewinch/internal/protocol/failure"
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
}

// Control configures the replicated log.
type Control struct {
	// Voters are the instances that form the first quorum.
	Voters []string
	// FreshnessBound is the oldest control state on which work is admitted.
	FreshnessBound time.Duration
	// ElectionTimeout is the shortest time without a leader's word.
	ElectionTimeout time.Duration
}

// Upstreams configures what workers and minions are told.
type Upstreams struct {
	// AnnounceEvery is how often an upstream announces itself.
	AnnounceEvery time.Duration
	// Lease is how long a worker may run a task without a renewal.
	Lease time.Duration
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
}

// TLS names the files of the certificate; empty for plain HTTP.
type TLS struct {
	Certificate string
	Key         string
}

// Problem is one thing wrong with the settings.
type Problem struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// String gives file, section, key and reason in that order.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Reason)
}

// Problems is every problem found in one go.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		problems := Problems{{File: path, Reason: err.Error()}}
		return nil, failure.Wrap(failure.BadSettings, problems, "1 problem")
	}
	r := &reader{path: path, file: file, used: map[string]map[string]bool{}}
	s := r.settings()
	r.check(s)
	r.rejectUnknown()
	if len(r.problems) > 0 {
		return nil, failure.Wrap(failure.BadSettings, r.problems, "%d problems", len(r.problems))
	}
	return s, nil
}

type reader struct {
	path     string
	file     *ini.File
	used     map[string]map[string]bool
	problems Problems
}

// freeSections hold names that the operator chooses.
var freeSections = map[string]bool{"peers": true, "customers": true, "operators": true}

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
			ElectionTimeout: r.duration("control", "election_timeout", 600*time.Millisecond),
		},
		Upstreams: Upstreams{
			AnnounceEvery: r.duration("upstreams", "announce_every", time.Second),
			Lease:         r.duration("upstreams", "lease", 10*time.Second),
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
		Log:       Log{Level: r.text("log", "level", "info"), Format: r.choice("log", "format", "text", "json")},
		TLS:       TLS{Certificate: r.text("tls", "certificate", ""), Key: r.text("tls", "key", "")},
		Customers: r.tokens("customers"),
		Operators: r.tokens("operators"),
	}
}

func (r *reader) check(s *Settings) {
	if s.Instance.DataFolder != "" {
		info, err := os.Stat(s.Instance.DataFolder)
		if err != nil || !info.IsDir() {
			r.problem("instance", "data_folder", "%s is not a folder", s.Instance.DataFolder)
		}
	}
	if len(s.Control.Voters) == 0 {
		r.problem("control", "voters", "missing")
	}
	for _, voter := range s.Control.Voters {
		if _, ok := s.Peers[voter]; !ok {
			r.problem("control", "voters", "%q is not among [peers]", voter)
		}
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		r.problem("tls", "key", "certificate and key are set together")
	}
}

func (r *reader) problem(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{File: r.path, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (r *reader) text(section, key, fallback string) string {
	if r.used[section] == nil {
		r.used[section] = map[string]bool{}
	}
	r.used[section][key] = true
	value := r.file.Section(section).Key(key).String()
	if value == "" {
		return fallback
	}
	return value
}

func (r *reader) required(section, key string) string {
	value := r.text(section, key, "")
	if value == "" {
		r.problem(section, key, "missing")
	}
	return value
}

func (r *reader) choice(section, key, fallback string, others ...string) string {
	value := r.text(section, key, fallback)
	if value == fallback {
		return value
	}
	for _, other := range others {
		if value == other {
			return value
		}
	}
	r.problem(section, key, "%q is not %s or %s", value, fallback, strings.Join(others, " or "))
	return fallback
}

func (r *reader) address(section, key string) netip.AddrPort {
	value := r.required(section, key)
	if value == "" {
		return netip.AddrPort{}
	}
	return r.parseAddress(section, key, value)
}

func (r *reader) parseAddress(section, key, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		r.problem(section, key, "%q is not an IP number and a port", value)
	}
	return address
}

func (r *reader) duration(section, key string, fallback time.Duration) time.Duration {
	value := r.text(section, key, "")
	if value == "" {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		r.problem(section, key, "%q is not a duration such as 500ms or 10s", value)
		return fallback
	}
	return d
}

func (r *reader) number(section, key string, fallback int) int {
	if r.text(section, key, "") == "" {
		return fallback
	}
	n, err := r.file.Section(section).Key(key).Int()
	if err != nil || n <= 0 {
		r.problem(section, key, "not a whole number above 0")
		return fallback
	}
	return n
}

func (r *reader) list(section, key string) []string {
	var names []string
	for _, name := range strings.Split(r.text(section, key, ""), ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func (r *reader) peers() map[string]netip.AddrPort {
	peers := map[string]netip.AddrPort{}
	for _, key := range r.file.Section("peers").Keys() {
		peers[key.Name()] = r.parseAddress("peers", key.Name(), key.String())
	}
	return peers
}

// tokenPrefix names the hash of a token, so that another can follow it.
const tokenPrefix = "sha256:"

func (r *reader) tokens(section string) map[string][]byte {
	tokens := map[string][]byte{}
	for _, key := range r.file.Section(section).Keys() {
		text, ok := strings.CutPrefix(key.String(), tokenPrefix)
		hash, err := hex.DecodeString(text)
		if !ok || err != nil || len(hash) != 32 {
			r.problem(section, key.Name(), "not sha256: and 64 hex digits")
			continue
		}
		tokens[key.Name()] = hash
	}
	return tokens
}

func (r *reader) rejectUnknown() {
	for _, section := range r.file.Sections() {
		name := section.Name()
		if freeSections[name] {
			continue
		}
		for _, key := range section.Keys() {
			if !r.used[name][key.Name()] {
				r.problem(name, key.Name(), "unknown key")
			}
		}
	}
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].String() < r.problems[j].String() })
}
