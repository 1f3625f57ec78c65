package arrivals

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sinceLastData returns how long ago the newest data of a TCP connection has arrived; 0 if that isn't known.
func sinceLastData(c net.Conn) (age time.Duration) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	// A connection that is closed meanwhile needs no time.
	_ = raw.Control(func(descriptor uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
