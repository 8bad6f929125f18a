package watch

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// followed follows an agent that gives these answers in turn, and then none; it gives the first lists that were told and the
// queries of all calls until then.
func followed(t *testing.T, want int, answers ...func(http.ResponseWriter)) (told []Told, asked []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	calls := make(chan string, 64)
	next := make(chan func(http.ResponseWriter), len(answers))
	for _, a := range answers {
		next <- a
	}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		select {
		case a := <-next:
			a(w)
		default:
			select { // nothing more is said
			case <-r.Context().Done():
			case <-ctx.Done():
			}
		}
	}))
	lists := make(chan Told, 64)
	ended := make(chan struct{})
	go func() {
		Follow(ctx, agent.Listener.Addr().String(), 3, func(in ...any) { lists <- in[0].(Told) }, slog.New(slog.DiscardHandler))
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended; agent.CloseClientConnections(); agent.Close() })
	for range want {
		select {
		case l := <-lists:
			told = append(told, l)
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d lists were told", len(told), want)
		}
	}
	for len(calls) > 0 {
		asked = append(asked, <-calls)
	}
	return told, asked
}

func says(text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { fmt.Fprint(w, text) }
}

func whole(index int, host string) func(http.ResponseWriter) {
	return says(fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":%q}]}`, index, host))
}

func change(index int, host string) func(http.ResponseWriter) {
	return says(fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[{"name":%q}]}`, index, host))
}

// half stops in the middle of an answer, and says nothing more for as long as the call lasts.
func half(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "400")
	fmt.Fprint(w, `{"index":5,"snapshot":true,"endpoints":[{"name":"h9"`)
	w.(http.Flusher).Flush()
	time.Sleep(2 * answerFor)
}

func silent(http.ResponseWriter) { time.Sleep(2 * answerFor) }

func refuses(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }

// However the agent fails, what it tells next is whole, and nothing of the failed answer is told.
func TestAfterEachFailureTheWholeListIsAskedFor(t *testing.T) {
	for name, fails := range map[string][]func(http.ResponseWriter){
		"silent at the start":        {silent},
		"half an answer":             {half},
		"refused":                    {refuses},
		"unreadable":                 {says(`{"index":`)},
		"no index":                   {says(`{"snapshot":true,"endpoints":[]}`)},
		"silent behind a list":       {whole(4, "h1"), silent, silent},
		"half behind a list":         {whole(4, "h1"), half, half},
		"an index that goes back":    {whole(4, "h1"), change(3, "h9")},
		"unreadable behind a list":   {whole(4, "h1"), says("\x00")},
		"another kind behind a list": {whole(4, "h1"), says(`{"index":5,"snapshot":false,"endpoints":{}}`)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := 1
			if len(fails) > 1 {
				want = 2
			}
			told, asked := followed(t, want, append(fails, whole(2, "h2"))...)
			last := told[want-1]
			if last.Index != 2 || last.Source != 3 || len(last.Endpoints) != 1 || last.Endpoints[0].Name != "h2" {
				t.Errorf("told %+v", told)
			}
			if n := len(fails); len(asked) <= n || asked[n] != "" {
				t.Errorf("asked %q", asked)
			}
		})
	}
}

// Changes are followed from the index of the answer before.
func TestAWatchGoesOnFromItsIndex(t *testing.T) {
	told, asked := followed(t, 3, whole(4, "h1"), change(6, "h2"), says(`{"index":6,"snapshot":false,"endpoints":[]}`), change(7, "h3"))
	for i, want := range []string{"", "after=4&wait_ms=1000", "after=6&wait_ms=1000", "after=6&wait_ms=1000"} {
		if asked[i] != want {
			t.Errorf("call %d asked %q, wanted %q", i, asked[i], want)
		}
	}
	if told[0].Snapshot != true || told[1].Snapshot || told[2].Index != 7 {
		t.Errorf("%+v", told)
	}
}
