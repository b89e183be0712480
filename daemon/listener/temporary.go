package listener

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// temporary are the errors of accept(2) that concern one connection or pass by themselves.
var temporary = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EPERM, syscall.ETIMEDOUT,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// isTemporary reports whether Accept may succeed after this error.
func isTemporary(err error) bool {
	var number syscall.Errno
	if errors.As(err, &number) {
		return slices.Contains(temporary, number)
	}
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
