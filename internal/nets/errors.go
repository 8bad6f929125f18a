package nets

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// noRoom are the errors by which the system says that it has no more of something for the moment.
var noRoom = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// noWay are those of a connection that could not even be tried: no port, no route, a call that was interrupted.
var noWay = []error{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN}

func isOneOf(err error, all []error) bool {
	return slices.ContainsFunc(all, func(one error) bool { return errors.Is(err, one) })
}

// OwnShortage says whether a call failed for a want of this machine. That tells nothing of the other side, and
// passes by itself.
func OwnShortage(err error) bool { return isOneOf(err, noRoom) || isOneOf(err, noWay) }

// busy are the errors of a write that pass by themselves: another goroutine writes, the call was interrupted, or the
// system has no buffer at hand.
var busy = append([]error{netpoll.ErrConcurrentAccess, syscall.EINTR}, noRoom...)

const (
	sendTries = 5
	sendPause = time.Millisecond
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
	for range sendTries {
		if err == nil || !isOneOf(err, busy) || !c.IsActive() {
			break
		}
		time.Sleep(sendPause)
		if errors.Is(err, netpoll.ErrConcurrentAccess) {
			taken, err = c.Write(message) // nothing of it was taken
		} else {
			err = c.Writer().Flush() // it waits in the connection's buffer
		}
	}
	return taken, err
}
