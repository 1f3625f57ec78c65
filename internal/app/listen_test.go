package app

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// Guards against callers whose unread bytes take the memory of the machine.
func TestReceiveBufferOfCallersIsLimited(t *testing.T) {
	is := is.New(t)
	listener, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), callerReceiveBytes, logrus.New())
	is.NoErr(err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer client.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	socket, err := accepted.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(socket.Control(func(descriptor uintptr) {
		size, err := syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		is.NoErr(err)
		is.True(size <= 2*callerReceiveBytes) // the kernel doubles it for its own use
	}))
}
