package uplink

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/outbox"
)

// runCalls makes calls with the given texts, one after the other, against a relay that handles its nth connection with
// serve, and returns how they ended. between, if not nil, is called before each call but the first.
func runCalls(t *testing.T, serve func(c net.Conn, nth int), between func(), texts ...[]byte) (all []CallEnded) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for nth := 1; ; nth++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c, nth)
		}
	}()
	ended := make(chan CallEnded, 1)
	c := NewCaller(&codec.Schema{}, func(in ...any) { ended <- in[0].(CallEnded) }, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	for i, text := range texts {
		if i > 0 && between != nil {
			between()
		}
		c.Submit(ln.Addr().String(), &outbox.Call{ID: uint64(i + 1), Text: text})
		select {
		case e := <-ended:
			all = append(all, e)
		case <-time.After(5 * time.Second):
			t.Fatal("call did not end within 5s")
		}
	}
	return all
}

// If the write timeout expires while the rest of a call is being flushed, it is unknown whether the last byte was
// sent: the relay keeps reading and may receive all of it.
func TestTimedOutWriteIsUnconfirmed(t *testing.T) {
	got := runCalls(t, func(c net.Conn, _ int) { // reads nothing and keeps the connection open
		t.Cleanup(func() { c.Close() })
	}, nil, append(bytes.Repeat([]byte{' '}, 32<<20), '\n'))
	if got[0].Result != outbox.Unconfirmed {
		t.Errorf("result is %v (%s), want Unconfirmed", got[0].Result, got[0].Reason)
	}
}

// The relay resets the connection between two calls: the second call uses a new connection, or no byte of it was sent.
func TestResetBetweenCallsLeavesNoCallUnconfirmed(t *testing.T) {
	reset, done := make(chan struct{}), make(chan struct{})
	got := runCalls(t, func(c net.Conn, nth int) {
		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			return
		}
		fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":{"ok_count":0}}`+"\n", nth)
		if nth == 1 {
			<-reset
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			close(done)
		}
	}, func() { close(reset); <-done }, []byte("{}\n"), []byte("{}\n"))
	if got[0].Result != outbox.Answered || got[1].Result != outbox.Answered && got[1].Result != outbox.NotSent {
		t.Errorf("%+v", got)
	}
}

// The answer to the first call arrives while the second is in flight: it is not taken for the answer to the second.
func TestLateAnswerIsNotTakenForNextCall(t *testing.T) {
	late := make(chan struct{})
	got := runCalls(t, func(c net.Conn, nth int) {
		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			return
		}
		if nth == 1 {
			<-late
			fmt.Fprint(c, `{"jsonrpc":"2.0","id":1,"result":{"ok_count":0}}`+"\n")
			return
		}
		close(late)
		fmt.Fprint(c, `{"jsonrpc":"2.0","id":1,"result":{"ok_count":0}}`+"\n") // again, on the connection of the second call
	}, nil, []byte("{}\n"), []byte("{}\n"))
	if got[0].Result != outbox.Unconfirmed || got[1].Result != outbox.Unconfirmed {
		t.Errorf("%+v", got)
	}
}
