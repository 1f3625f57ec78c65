// Package tlsfiles serves TLS from files and reads them again when they change,
// so that a renewed certificate needs no restart.
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

// checkEvery bounds how often the files' times are looked at.
const checkEvery = time.Second

var (
	reloads = expvar.NewInt("tls_reloads")
	// reloadFailures counts changed files that could not be used; the last good
	// ones stay in use.
	reloadFailures = expvar.NewInt("tls_reload_failures")
)

// Files are paths of PEM files. Authority is empty where the other side shows
// no certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Source gives TLS configurations from the files as they are now.
type Source struct {
	files Files
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamp   string
	current material
}

type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Open reads the files once; a failure is BadSettings.
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

func (f Files) load() (material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return material{}, err
	}
	loaded := material{certificate: &certificate}
	if f.Authority == "" {
		return loaded, nil
	}
	loaded.authority, err = ReadAuthority(f.Authority)
	return loaded, err
}

// ReadAuthority reads certificates to trust.
func ReadAuthority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, failure.New(failure.BadSettings, "%s holds no certificate", path)
	}
	return pool, nil
}

// stamp changes when a file is written or replaced.
func (f Files) stamp() string {
	var stamp strings.Builder
	for _, path := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(path); err == nil {
			fmt.Fprintf(&stamp, "%d %d;", info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp.String()
}

// material gives what to use now. Files in the middle of a change may not fit
// each other: then the last good ones stay until the next look.
func (s *Source) material() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < checkEvery {
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

// Server is for callers, who show no certificate.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.material().certificate, nil
		},
	}
}

// MutualServer accepts only peers whose certificate the authority signed.
func (s *Source) MutualServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.material()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*now.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    now.authority,
			}, nil
		},
	}
}

// MutualClient dials the instance whose certificate the authority signed for
// that name; another instance's certificate doesn't do.
func (s *Source) MutualClient(instance string) *tls.Config {
	now := s.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*now.certificate},
		RootCAs:      now.authority,
		ServerName:   instance,
	}
}
