package app

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// callerReceiveBytes is the kernel's buffer for what a caller has sent and the process not yet
// read, in bytes, which counts as memory of the process. Larger ones only speed up long bodies.
const callerReceiveBytes = 16 << 10

// listen listens on an address. Accepted connections have a receive buffer of so many bytes,
// 0 for the kernel's default. The error is failure.BadSettings.
func listen(address netip.AddrPort, receiveBytes int, logger *logrus.Logger) (net.Listener, error) {
	config := net.ListenConfig{}
	if receiveBytes > 0 {
		config.Control = func(_, _ string, socket syscall.RawConn) error {
			return socket.Control(func(descriptor uintptr) {
				if err := syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes); err != nil {
					logger.WithField("reason", err.Error()).Warn("receive buffers are not limited")
				}
			})
		}
	}
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "listen on %s", address)
	}
	return listener, nil
}
