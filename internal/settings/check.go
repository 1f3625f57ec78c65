package settings

import (
	"bytes"
	"os"
	"regexp"
	"slices"
)

// minAnnouncementsPerLease is the smallest number of announcement intervals that a
// lease must cover: with fewer, one lost message ends a healthy task.
const minAnnouncementsPerLease = 3

// namePattern restricts instance names to characters that are safe in tables, logs
// and paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// check validates rules that involve several values or the file system, after each
// value has been parsed.
func (r *reader) check(s *Settings) {
	r.checkInstance(s)
	r.checkVoters(s)
	r.checkTokens(s)
	if s.Control.MaxRepairDelay < s.Control.RepairAfter {
		r.addProblem("control", "max_repair_delay", "shorter than repair_after")
	}
	if s.Upstreams.Lease < minAnnouncementsPerLease*s.Upstreams.AnnounceEvery {
		r.addProblem("upstreams", "lease", "shorter than %d announcement intervals", minAnnouncementsPerLease)
	}
	r.checkFiles("tls", map[string]string{"certificate": s.TLS.Certificate, "key": s.TLS.Key})
	r.checkFiles("peers_tls", map[string]string{
		"certificate": s.PeersTLS.Certificate,
		"key":         s.PeersTLS.Key,
		"authority":   s.PeersTLS.Authority,
	})
}

func (r *reader) checkInstance(s *Settings) {
	if s.Instance.Name != "" && !namePattern.MatchString(s.Instance.Name) {
		r.addProblem("instance", "name", "%q is not letters, digits, '.', '_' and '-'", s.Instance.Name)
	}
	if _, ok := s.Peers[s.Instance.Name]; s.Instance.Name != "" && !ok {
		r.addProblem("peers", s.Instance.Name, "this instance is missing")
	}
	if s.Instance.DataFolder == "" {
		return
	}
	info, err := os.Stat(s.Instance.DataFolder)
	if err != nil || !info.IsDir() {
		r.addProblem("instance", "data_folder", "%s is not a folder", s.Instance.DataFolder)
	}
}

func (r *reader) checkVoters(s *Settings) {
	if len(s.Control.Voters) == 0 {
		r.addProblem("control", "voters", "missing")
	}
	for i, voter := range s.Control.Voters {
		if _, ok := s.Peers[voter]; !ok {
			r.addProblem("control", "voters", "%q is not among [peers]", voter)
		}
		if slices.Contains(s.Control.Voters[:i], voter) {
			r.addProblem("control", "voters", "%q is listed more than once", voter)
		}
	}
	if slices.Contains(s.Control.Voters, s.Instance.Name) && s.Instance.DataFolder == "" {
		r.addProblem("instance", "data_folder", "missing, and this instance is a voter")
	}
}

// checkTokens rejects a token hash that two names share: a request with that token
// could be attributed to either of them.
func (r *reader) checkTokens(s *Settings) {
	r.checkDuplicateTokens("customers", s.Customers, s.Customers)
	r.checkDuplicateTokens("operators", s.Operators, s.Operators)
	r.checkDuplicateTokens("customers", s.Customers, s.Operators)
}

func (r *reader) checkDuplicateTokens(section string, hashes, others map[string][]byte) {
	for name, hash := range hashes {
		for other, otherHash := range others {
			if name != other && bytes.Equal(hash, otherHash) {
				r.addProblem(section, name, "has the same token as %q", other)
			}
		}
	}
}

// checkFiles requires that either all of the files are configured and readable or
// none is configured.
func (r *reader) checkFiles(section string, files map[string]string) {
	configured := 0
	for _, path := range files {
		if path != "" {
			configured++
		}
	}
	if configured == 0 {
		return
	}
	for key, path := range files {
		if path == "" {
			r.addProblem(section, key, "missing; the keys of this section are set together")
			continue
		}
		if _, err := os.ReadFile(path); err != nil {
			r.addProblem(section, key, "%v", err)
		}
	}
}
