// Package loopback finds addresses for processes that must know each other's
// before they listen.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// The second to fourth byte of a drawn address; 127.0.0.x stays for others.
const (
	lowestByte  = 1
	highestByte = 254
)

// Reserve draws an address of 127.0.0.0/8 and gives free ports on it. A port
// that is free on 127.0.0.1 may be taken by any outgoing connection before its
// process listens on it (seen as "address already in use" with other tests
// running); outgoing connections start from 127.0.0.1, so on a drawn address only
// another draw of the same one of 16 million could take it.
func Reserve(count int) ([]netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, drawnByte(), drawnByte(), drawnByte()})
	addresses := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, failure.Wrap(failure.BadSettings, err, "listen on %s", ip)
		}
		// Closed only when all are drawn, so that none comes twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}

func drawnByte() byte { return byte(lowestByte + rand.IntN(highestByte-lowestByte+1)) }
