package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/netutil"
)

// A configuration that is unreadable at the time of the signal must be read again, since no second signal follows.
func TestAConfigurationThatIsHalfWrittenIsReadAgain(t *testing.T) {
	s := startTestEnv(t)
	former := s.discovery
	s.discovery = newDiscoveryStub(t, "h1", "h2", "h3")
	os.WriteFile(s.configPath, []byte(`{"name":`), 0o600)
	s.signals <- syscall.SIGHUP
	s.within("the log line of the refused reload", time.Second, s.log.contains("reload.refused"))
	s.writeConfig(former.snapshot())
	s.within("a request to the new discovery", time.Second, func() bool {
		s.discovery.mu.Lock()
		defer s.discovery.mu.Unlock()
		return s.discovery.requests > 0
	})
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("the mask", maskDeadline, s.isMasked("h1"))
}

// Retries must end if the configuration stays unreadable, and the former configuration stays in force.
func TestAConfigurationThatStaysBrokenChangesNothing(t *testing.T) {
	s := startTestEnv(t)
	os.WriteFile(s.configPath, []byte(`{"name":`), 0o600)
	s.signals <- syscall.SIGHUP
	s.within("the end of the retries", reloadTimeout+time.Second, s.log.contains("again=false"))
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("the mask", maskDeadline, s.isMasked("h1"))
}

// A former process may still hold the listening address for a moment; the director must wait for it.
func TestListenRetriesWhileAddressIsInUse(t *testing.T) {
	s := &testEnv{t: t, relay: newRelayStub(t), discovery: newDiscoveryStub(t, "h1"),
		listen: freeAddress(t), configPath: t.TempDir() + "/config.json",
		signals: make(chan os.Signal, 4), exited: make(chan error, 1), log: &logBuffer{}}
	held, err := net.Listen("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(300*time.Millisecond, func() { held.Close() })
	s.writeConfig(s.discovery.snapshot())
	s.start()
}

func TestLocalShortageIsDistinguishedFromPeerFailure(t *testing.T) {
	for err, isLocal := range map[error]bool{syscall.EADDRNOTAVAIL: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENETUNREACH: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ECONNRESET: false} {
		wrapped := fmt.Errorf("get: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)})
		if netutil.IsLocalShortage(wrapped) != isLocal {
			t.Errorf("%v: reported as a local shortage: %v", err, !isLocal)
		}
	}
	if netutil.IsLocalShortage(nil) || netutil.IsLocalShortage(errors.New("other")) {
		t.Error("an unrelated error was taken for a local shortage")
	}
}
