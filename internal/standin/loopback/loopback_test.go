package loopback

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func TestReservedAddressesAreFreeAndDistinct(t *testing.T) {
	is := is.New(t)
	addresses, err := Reserve(20)
	is.NoErr(err)
	seen := map[netip.AddrPort]bool{}
	for _, address := range addresses {
		is.True(!seen[address])
		seen[address] = true
		is.True(address.Addr().IsLoopback())
		is.True(address.Addr() != netip.AddrFrom4([4]byte{127, 0, 0, 1}))
		listener, err := net.Listen("tcp", address.String())
		is.NoErr(err)
		is.NoErr(listener.Close())
	}
}
