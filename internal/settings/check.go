package settings

import (
	"bytes"
	"os"
	"regexp"
	"slices"
)

// leaseAnnouncements is how many announcements a lease must outlast: with fewer,
// one lost message ends a healthy task.
const leaseAnnouncements = 3

// namePattern keeps names of instances printable in tables, logs and paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// check looks at values together, after each was read by itself.
func (r *reader) check(s *Settings) {
	r.checkInstance(s)
	r.checkVoters(s)
	r.checkTokens(s)
	if s.Upstreams.Lease < leaseAnnouncements*s.Upstreams.AnnounceEvery {
		r.problem("upstreams", "lease", "shorter than %d announcements", leaseAnnouncements)
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
		r.problem("instance", "name", "%q is not letters, digits, '.', '_' and '-'", s.Instance.Name)
	}
	if _, ok := s.Peers[s.Instance.Name]; s.Instance.Name != "" && !ok {
		r.problem("peers", s.Instance.Name, "this instance is missing")
	}
	if s.Instance.DataFolder == "" {
		return
	}
	info, err := os.Stat(s.Instance.DataFolder)
	if err != nil || !info.IsDir() {
		r.problem("instance", "data_folder", "%s is not a folder", s.Instance.DataFolder)
	}
}

func (r *reader) checkVoters(s *Settings) {
	if len(s.Control.Voters) == 0 {
		r.problem("control", "voters", "missing")
	}
	for i, voter := range s.Control.Voters {
		if _, ok := s.Peers[voter]; !ok {
			r.problem("control", "voters", "%q is not among [peers]", voter)
		}
		if slices.Contains(s.Control.Voters[:i], voter) {
			r.problem("control", "voters", "%q stands twice", voter)
		}
	}
	if slices.Contains(s.Control.Voters, s.Instance.Name) && s.Instance.DataFolder == "" {
		r.problem("instance", "data_folder", "missing, and this instance is a voter")
	}
}

// checkTokens refuses a token that two names share: its bearer would be one of
// them by chance.
func (r *reader) checkTokens(s *Settings) {
	r.checkShared("customers", s.Customers, s.Customers)
	r.checkShared("operators", s.Operators, s.Operators)
	r.checkShared("customers", s.Customers, s.Operators)
}

func (r *reader) checkShared(section string, hashes, others map[string][]byte) {
	for name, hash := range hashes {
		for other, otherHash := range others {
			if name != other && bytes.Equal(hash, otherHash) {
				r.problem(section, name, "has the same token as %q", other)
			}
		}
	}
}

// checkFiles wants all of the files or none, each readable.
func (r *reader) checkFiles(section string, files map[string]string) {
	given := 0
	for _, path := range files {
		if path != "" {
			given++
		}
	}
	if given == 0 {
		return
	}
	for key, path := range files {
		if path == "" {
			r.problem(section, key, "missing; the keys of this section are set together")
			continue
		}
		if _, err := os.ReadFile(path); err != nil {
			r.problem(section, key, "%v", err)
		}
	}
}
