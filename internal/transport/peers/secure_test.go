package peers

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/softstate"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/testcerts"
	"pinewinch.example/pinewinch/internal/transport/tlsfiles"
)

type ackHandler struct{}

func (ackHandler) Call(context.Context, *peerpb.Call) (*peerpb.Reply, error) {
	return &peerpb.Reply{Body: &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}}, nil
}

func (ackHandler) Deliver(*consensuspb.Message) {}

func (ackHandler) Follow(context.Context, *peerpb.Follow, control.Stream) error { return nil }

func (ackHandler) Watch(context.Context, *peerpb.Watch, softstate.Stream) error { return nil }

// Instance b serves its peers with mutual TLS. A peer with a certificate of the
// authority gets a reply. A peer without TLS, with a certificate of another authority, or
// that expects another instance at the address gets none, and its call is not run.
func TestPeersNeedCertificate(t *testing.T) {
	folder := t.TempDir()
	is := is.New(t)
	authority, err := testcerts.New(folder, "ours")
	is.NoErr(err)
	otherAuthority, err := testcerts.New(folder, "theirs")
	is.NoErr(err)
	is.NoErr(authority.Issue(folder, "a"))
	is.NoErr(authority.Issue(folder, "b"))
	is.NoErr(otherAuthority.Issue(folder, "stranger"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	served := NewNetwork("b", nil)
	served.UseTLS(openSource(t, folder, "b", "ours"))
	done := make(chan error, 1)
	go func() { done <- served.Serve(ctx, listener, ackHandler{}) }()
	defer func() {
		cancel()
		listener.Close()
		is.NoErr(<-done)
	}()
	tests := map[string]struct {
		tls    *tlsfiles.Source
		to     string
		answer bool
	}{
		"signed":           {openSource(t, folder, "a", "ours"), "b", true},
		"plain":            {nil, "b", false},
		"other authority":  {openSource(t, folder, "stranger", "ours"), "b", false},
		"another instance": {openSource(t, folder, "a", "ours"), "c", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			network := NewNetwork("a", map[string]netip.AddrPort{test.to: netip.MustParseAddrPort(listener.Addr().String())})
			network.tls = test.tls
			defer network.Close()
			_, err := network.Call(ctx, test.to, &peerpb.Call{})
			is.Equal(err == nil, test.answer)
			is.True(err == nil || failure.From(err).Code == failure.Unreachable || failure.From(err).Code == failure.OutcomeUnknown)
		})
	}
}

func openSource(t *testing.T, folder, name, authority string) *tlsfiles.Source {
	source, err := tlsfiles.Open(tlsfiles.Files{
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
		Authority:   filepath.Join(folder, authority+".pem"),
	}, time.Now)
	is.New(t).NoErr(err)
	return source
}
