package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/nets"
)

// A configuration that can't be read when the signal comes is tried again: nobody sends a second signal for it.
func TestAConfigurationThatIsHalfWrittenIsReadAgain(t *testing.T) {
	s := up(t)
	former := s.agent
	s.agent = newAgent(t, "h1", "h2", "h3")
	os.WriteFile(s.file, []byte(`{"name":`), 0o600)
	s.signals <- syscall.SIGHUP
	s.within("the word of it", time.Second, s.log.has("reload.refused"))
	s.configure(former.whole())
	s.within("the new address", time.Second, func() bool {
		s.agent.mu.Lock()
		defer s.agent.mu.Unlock()
		return s.agent.asked > 0
	})
	s.agent.set("h1", 0, "leaving")
	s.within("the mask", grace, s.drained("h1"))
}

// One that stays unreadable is given up, and nothing changes.
func TestAConfigurationThatStaysBrokenChangesNothing(t *testing.T) {
	s := up(t)
	os.WriteFile(s.file, []byte(`{"name":`), 0o600)
	s.signals <- syscall.SIGHUP
	s.within("an end of it", reloadFor+time.Second, s.log.has("again=false"))
	s.agent.set("h1", 0, "leaving")
	s.within("the mask", grace, s.drained("h1"))
}

// The address of a former process may be held for a moment.
func TestAnAddressThatIsHeldIsWaitedFor(t *testing.T) {
	s := &stage{t: t, relay: newRelay(t), agent: newAgent(t, "h1"), listen: free(t), file: t.TempDir() + "/config.json",
		signals: make(chan os.Signal, 4), ended: make(chan error, 1), log: &logged{}}
	held, err := net.Listen("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(300*time.Millisecond, func() { held.Close() })
	s.configure(s.agent.whole())
	s.start()
}

func TestAShortageOfOursIsToldApart(t *testing.T) {
	for err, ours := range map[error]bool{syscall.EADDRNOTAVAIL: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENETUNREACH: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ECONNRESET: false} {
		wrapped := fmt.Errorf("get: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)})
		if nets.IsLocalShortage(wrapped) != ours {
			t.Errorf("%v: ours is %v", err, !ours)
		}
	}
	if nets.IsLocalShortage(nil) || nets.IsLocalShortage(errors.New("other")) {
		t.Error("another error was taken for one of ours")
	}
}
