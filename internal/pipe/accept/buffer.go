package accept

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReceiveBuffer returns the Control function of a listener whose connections have receive buffers of a fixed
// size, in bytes. Without it the kernel lets them grow to some megabytes.
func ReceiveBuffer(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		})
		return errors.Join(controlErr, err)
	}
}
