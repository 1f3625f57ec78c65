// Package tlsfiles provides TLS configurations from files and reloads the files when they
// change, so that a renewed certificate needs no restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

var (
	reloads = expvar.NewInt("tls_reloads")
	// reloadFailures counts failed reloads of changed files, after which the last valid
	// ones stay in use.
	reloadFailures = expvar.NewInt("tls_reload_failures")
)

// Files holds paths of PEM files. Authority holds the trusted certificate authorities; it is
// empty if peers present no certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Source provides TLS configurations from the current contents of the files.
type Source struct {
	files Files
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamp   string
	current credentials
}

type credentials struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Open loads the files; errors have the code BadSettings. now returns the current time.
func Open(files Files, now func() time.Time) (*Source, error) {
	s := &Source{files: files, now: now, checked: now()}
	loaded, err := files.load()
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "TLS files")
	}
	s.current = loaded
	s.stamp = files.stamp()
	return s, nil
}

func (f Files) load() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, err
	}
	loaded := credentials{certificate: &certificate}
	if f.Authority == "" {
		return loaded, nil
	}
	loaded.authority, err = ReadAuthority(f.Authority)
	return loaded, err
}

// ReadAuthority reads the trusted certificate authorities from a PEM file; errors have the
// code BadSettings.
func ReadAuthority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, failure.New(failure.BadSettings, "%s contains no certificate", path)
	}
	return pool, nil
}

// stamp returns a value that changes when a file is written or replaced: the modification
// times and sizes.
func (f Files) stamp() string {
	var stamp strings.Builder
	for _, path := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(path); err == nil {
			fmt.Fprintf(&stamp, "%d %d;", info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp.String()
}

// credentials returns the current credentials and reloads changed files. While files are
// being replaced, key and certificate may not match; then the last valid ones are used
// until the next check.
func (s *Source) credentials() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < checkInterval {
		return s.current
	}
	s.checked = now
	stamp := s.files.stamp()
	if stamp == s.stamp {
		return s.current
	}
	loaded, err := s.files.load()
	if err != nil {
		reloadFailures.Add(1)
		return s.current
	}
	reloads.Add(1)
	s.current, s.stamp = loaded, stamp
	return loaded
}

// Server returns the configuration of a server whose clients present no certificate.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.credentials().certificate, nil
		},
	}
}

// MutualServer returns the configuration of a server that accepts only clients with a
// certificate signed by the authority.
func (s *Source) MutualServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.credentials()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authority,
			}, nil
		},
	}
}

// MutualClient returns the configuration of a client that accepts only a server with a
// certificate signed by the authority for the name of the instance.
func (s *Source) MutualClient(instance string) *tls.Config {
	current := s.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*current.certificate},
		RootCAs:      current.authority,
		ServerName:   instance,
	}
}
