package upstream

import (
	"errors"
	"slices"
	"syscall"
)

// lacks are the errors of a dial that tell of what this host lacks, and nothing of the endpoint.
var lacks = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// isLack reports whether a dial failed since this host lacks descriptors, memory or ports.
func isLack(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(lacks, number)
}
