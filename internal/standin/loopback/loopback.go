// Package loopback reserves addresses for processes that must know each other's
// addresses before they listen.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// The range of the second to fourth byte of a random address; 127.0.0.x is never used.
const (
	lowestByte  = 1
	highestByte = 254
)

// Reserve picks a random address of 127.0.0.0/8 and returns count free ports on it. A
// port that is free on 127.0.0.1 may be used by any outgoing connection before its
// process listens on it, which gave "address already in use" while other tests ran.
// Outgoing connections use 127.0.0.1 as their source, so a port on a random address can
// only be lost to another process that picks the same one of 16 million addresses.
func Reserve(count int) ([]netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, randomByte(), randomByte(), randomByte()})
	addresses := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, failure.Wrap(failure.BadSettings, err, "listen on %s", ip)
		}
		// Closed only after all ports are reserved, so that no port is returned twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}

func randomByte() byte { return byte(lowestByte + rand.IntN(highestByte-lowestByte+1)) }
