package netutil

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// exhaustionErrors are returned when the system is temporarily out of descriptors, buffers or memory.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// untriedErrors are returned for a connection that could not be attempted: no free port, no route, or an interrupted
// call.
var untriedErrors = []error{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN}

func isOneOf(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// IsLocalShortage reports whether a call failed for lack of a resource on this machine. Such an error says nothing
// about the remote side and is temporary.
func IsLocalShortage(err error) bool {
	return isOneOf(err, exhaustionErrors) || isOneOf(err, untriedErrors)
}

// transientWriteErrors are the temporary errors of a write: another goroutine is writing, the call was interrupted, or
// the system is out of buffers.
var transientWriteErrors = append([]error{netpoll.ErrConcurrentAccess, syscall.EINTR}, exhaustionErrors...)

const (
	sendRetries    = 5
	sendRetryDelay = time.Millisecond
)

// Sender is the part of a connection that Send needs.
type Sender interface {
	Write([]byte) (int, error)
	Writer() netpoll.Writer
	IsActive() bool
}

// Send writes a whole message. A write that failed temporarily is retried, since the connection remains usable and
// closing it would lose the message. accepted is the number of bytes handed to the connection; it is 0 if none of the
// message was.
func Send(c Sender, message []byte) (accepted int, err error) {
	accepted, err = c.Write(message)
	for range sendRetries {
		if err == nil || !isOneOf(err, transientWriteErrors) || !c.IsActive() {
			break
		}
		time.Sleep(sendRetryDelay)
		if errors.Is(err, netpoll.ErrConcurrentAccess) {
			accepted, err = c.Write(message) // nothing was accepted
		} else {
			err = c.Writer().Flush() // the message is in the connection's buffer
		}
	}
	return accepted, err
}
