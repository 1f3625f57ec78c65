package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/inifile"
)

// reader parses values from the sections and collects the problems found.
type reader struct {
	name     string
	sections map[string]inifile.Section
	// knownKeys holds every key that the code reads, by section.
	knownKeys map[string]map[string]bool
	problems  Problems
}

// operatorNamedSections are the sections whose keys are names chosen by the operator.
var operatorNamedSections = map[string]bool{"peers": true, "customers": true, "operators": true}

func newReader(name string, sections []inifile.Section, problems Problems) *reader {
	r := &reader{
		name:      name,
		sections:  map[string]inifile.Section{},
		knownKeys: map[string]map[string]bool{},
		problems:  problems,
	}
	for _, section := range sections {
		if _, duplicate := r.sections[section.Header]; duplicate {
			r.problems = append(r.problems, Problem{File: name, Line: section.Line, Section: section.Header, Reason: "the section stands twice"})
			continue
		}
		r.sections[section.Header] = section
	}
	return r
}

func (r *reader) addProblem(section, key, format string, args ...any) {
	problem := Problem{File: r.name, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
	if found, ok := r.sections[section]; ok {
		problem.Line = found.Line
		if at := r.findKey(section, key); at != nil {
			problem.Line = at.Line
		}
	}
	r.problems = append(r.problems, problem)
}

func (r *reader) findKey(section, key string) *inifile.Key {
	keys := r.sections[section].Keys
	at := slices.IndexFunc(keys, func(k inifile.Key) bool { return k.Name == key })
	if at < 0 {
		return nil
	}
	return &keys[at]
}

func (r *reader) text(section, key, fallback string) string {
	if r.knownKeys[section] == nil {
		r.knownKeys[section] = map[string]bool{}
	}
	r.knownKeys[section][key] = true
	if found := r.findKey(section, key); found != nil && found.Value != "" {
		return found.Value
	}
	return fallback
}

func (r *reader) required(section, key string) string {
	value := r.text(section, key, "")
	if value == "" {
		r.addProblem(section, key, "missing")
	}
	return value
}

func (r *reader) enum(section, key, fallback string, others ...string) string {
	value := r.text(section, key, fallback)
	if value == fallback || slices.Contains(others, value) {
		return value
	}
	r.addProblem(section, key, "%q is not %s or %s", value, fallback, strings.Join(others, " or "))
	return fallback
}

// yes reads a switch, which is off by default.
func (r *reader) yes(section, key string) bool { return r.enum(section, key, "no", "yes") == "yes" }

func (r *reader) address(section, key string) netip.AddrPort {
	value := r.required(section, key)
	if value == "" {
		return netip.AddrPort{}
	}
	return r.parseAddress(section, key, value)
}

func (r *reader) parseAddress(section, key, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		r.addProblem(section, key, "%q is not an IP number and a port", value)
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
		r.addProblem(section, key, "%q is not a duration such as 500ms or 10s", value)
		return fallback
	}
	return d
}

func (r *reader) positiveInt(section, key string, fallback int) int {
	value := r.text(section, key, "")
	if value == "" {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n <= 0 {
		r.addProblem(section, key, "%q is not a whole number above 0", value)
		return fallback
	}
	return n
}

func (r *reader) positiveNumber(section, key string, fallback float64) float64 {
	value := r.text(section, key, "")
	if value == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n > 0) || math.IsInf(n, 0) {
		r.addProblem(section, key, "%q is not a number above 0", value)
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
	for _, key := range r.sections["peers"].Keys {
		peers[key.Name] = r.parseAddress("peers", key.Name, key.Value)
	}
	return peers
}

// tokenPrefix identifies the hash algorithm of a token, so that another algorithm
// can be added later.
const tokenPrefix = "sha256:"

// tokens reads a section that maps names to token hashes.
func (r *reader) tokens(section string) map[string][]byte {
	tokens := map[string][]byte{}
	for _, key := range r.sections[section].Keys {
		if hash := r.parseToken(section, key.Name, key.Value); hash != nil {
			tokens[key.Name] = hash
		}
	}
	return tokens
}

func (r *reader) token(section, key string) []byte {
	value := r.text(section, key, "")
	if value == "" {
		return nil
	}
	return r.parseToken(section, key, value)
}

// parseToken leaves the value out of the problem it reports: an operator may have
// written the token itself instead of its hash, and problems are logged.
func (r *reader) parseToken(section, key, value string) []byte {
	text, ok := strings.CutPrefix(value, tokenPrefix)
	hash, err := hex.DecodeString(text)
	if !ok || err != nil || len(hash) != 32 {
		r.addProblem(section, key, "not sha256: and 64 hex digits")
		return nil
	}
	return hash
}

func (r *reader) rejectUnknown() {
	for name, section := range r.sections {
		if operatorNamedSections[name] {
			continue
		}
		if r.knownKeys[name] == nil {
			r.addProblem(name, "", "unknown section")
			continue
		}
		for _, key := range section.Keys {
			if !r.knownKeys[name][key.Name] {
				r.addProblem(name, key.Name, "unknown key")
			}
		}
	}
}

// sortedProblems returns the problems in file order, those without a line last.
func (r *reader) sortedProblems() Problems {
	sort.Slice(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		if a.Line != b.Line {
			return a.Line != 0 && (b.Line == 0 || a.Line < b.Line)
		}
		return a.String() < b.String()
	})
	return r.problems
}
