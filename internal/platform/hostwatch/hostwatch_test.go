package hostwatch

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// followStub follows a stub of the discovery service that gives the responses in turn and then does not respond any
// more. It returns the first updates, as many as wanted, and the queries of all requests until then.
func followStub(t *testing.T, want int, answers ...func(http.ResponseWriter)) (updates []Update, queries []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	calls := make(chan string, 64)
	next := make(chan func(http.ResponseWriter), len(answers))
	for _, a := range answers {
		next <- a
	}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		select {
		case a := <-next:
			a(w)
		default:
			select { // no further responses
			case <-r.Context().Done():
			case <-ctx.Done():
			}
		}
	}))
	lists := make(chan Update, 64)
	ended := make(chan struct{})
	go func() {
		Follow(ctx, service.Listener.Addr().String(), 3, func(in ...any) { lists <- in[0].(Update) }, slog.New(slog.DiscardHandler))
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended; service.CloseClientConnections(); service.Close() })
	for range want {
		select {
		case l := <-lists:
			updates = append(updates, l)
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d updates were posted", len(updates), want)
		}
	}
	for len(calls) > 0 {
		queries = append(queries, <-calls)
	}
	return updates, queries
}

func respondWith(text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { fmt.Fprint(w, text) }
}

func snapshotOf(index int, host string) func(http.ResponseWriter) {
	return respondWith(fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":%q}]}`, index, host))
}

func changeOf(index int, host string) func(http.ResponseWriter) {
	return respondWith(fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[{"name":%q}]}`, index, host))
}

// truncated sends the beginning of a response and then stalls.
func truncated(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "400")
	fmt.Fprint(w, `{"index":5,"snapshot":true,"endpoints":[{"name":"h9"`)
	w.(http.Flusher).Flush()
	time.Sleep(2 * answerTimeout)
}

func unresponsive(http.ResponseWriter) { time.Sleep(2 * answerTimeout) }

func unavailable(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }

// After any failure of the service the client requests the complete list, and it posts nothing of the failed response.
func TestSnapshotIsRequestedAfterEachFailure(t *testing.T) {
	for name, failures := range map[string][]func(http.ResponseWriter){
		"unresponsive at the start":       {unresponsive},
		"truncated response":              {truncated},
		"unavailable":                     {unavailable},
		"unreadable":                      {respondWith(`{"index":`)},
		"no index":                        {respondWith(`{"snapshot":true,"endpoints":[]}`)},
		"unresponsive after a list":       {snapshotOf(4, "h1"), unresponsive, unresponsive},
		"truncated response after a list": {snapshotOf(4, "h1"), truncated, truncated},
		"index goes back":                 {snapshotOf(4, "h1"), changeOf(3, "h9")},
		"unreadable after a list":         {snapshotOf(4, "h1"), respondWith("\x00")},
		"wrong type after a list":         {snapshotOf(4, "h1"), respondWith(`{"index":5,"snapshot":false,"endpoints":{}}`)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := 1
			if len(failures) > 1 {
				want = 2
			}
			updates, queries := followStub(t, want, append(failures, snapshotOf(2, "h2"))...)
			last := updates[want-1]
			if last.Index != 2 || last.WatchID != 3 || len(last.Endpoints) != 1 || last.Endpoints[0].Name != "h2" {
				t.Errorf("updates: %+v", updates)
			}
			if n := len(failures); len(queries) <= n || queries[n] != "" {
				t.Errorf("queries: %q", queries)
			}
		})
	}
}

// Each poll continues from the index of the previous response.
func TestPollContinuesFromLastIndex(t *testing.T) {
	updates, queries := followStub(t, 3, snapshotOf(4, "h1"), changeOf(6, "h2"),
		respondWith(`{"index":6,"snapshot":false,"endpoints":[]}`), changeOf(7, "h3"))
	for i, want := range []string{"", "after=4&wait_ms=1000", "after=6&wait_ms=1000", "after=6&wait_ms=1000"} {
		if queries[i] != want {
			t.Errorf("call %d has query %q, want %q", i, queries[i], want)
		}
	}
	if updates[0].Snapshot != true || updates[1].Snapshot || updates[2].Index != 7 {
		t.Errorf("%+v", updates)
	}
}
