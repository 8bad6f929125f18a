package nets

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// noRoom are the errors by which the system says that it has no more of something for the moment.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// noWay are those of a connection that could not even be tried: no port, no route, a call that was interrupted.
var untriedErrors = []error{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN}

func isOneOf(err error, all []error) bool {
	return slices.ContainsFunc(all, func(one error) bool { return errors.Is(err, one) })
}

// OwnShortage says whether a call failed for a want of this machine. That tells nothing of the other side, and
// passes by itself.
func IsLocalShortage(err error) bool {
	return isOneOf(err, exhaustionErrors) || isOneOf(err, untriedErrors)
}

// busy are the errors of a write that pass by themselves: another goroutine writes, the call was interrupted, or the
// system has no buffer at hand.
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

// Send writes a message whole. A write that failed for a moment is tried again: the connection is as good as before, and
// whoever waits for the message would lose it with the connection. Taken is 0 where not a byte of it was.
func Send(c Sender, message []byte) (taken int, err error) {
	taken, err = c.Write(message)
	for range sendRetries {
		if err == nil || !isOneOf(err, transientWriteErrors) || !c.IsActive() {
			break
		}
		time.Sleep(sendRetryDelay)
		if errors.Is(err, netpoll.ErrConcurrentAccess) {
			taken, err = c.Write(message) // nothing of it was taken
		} else {
			err = c.Writer().Flush() // it waits in the connection's buffer
		}
	}
	return taken, err
}
