package reload

import (
	"fmt"
	"testing"
)

// Only the listed attributes take effect live; all others are listed for a restart, each by its full path.
func TestWhatTakesEffectNow(t *testing.T) {
	before := map[string]string{"director[d1].memory": `"1GiB"`, "director[d1].listen": `"a"`, "poll.idle": `"2m"`, "service.route[read].slo": `"1s"`}
	for _, c := range []struct {
		after map[string]string
		want  string
	}{
		{before, "{[] []}"},
		{map[string]string{"director[d1].memory": `"2GiB"`, "director[d1].listen": `"a"`, "poll.idle": `"1m"`, "service.route[read].slo": `"1s"`},
			`{[director[d1].memory: "1GiB" to "2GiB" poll.idle: "2m" to "1m"] []}`},
		{map[string]string{"director[d1].memory": `"1GiB"`, "director[d1].listen": `"b"`, "service.route[read].slo": `"1s"`, "history.age": `"1h"`},
			`{[history.age: (not set) to "1h" poll.idle: "2m" to (not set)] [director[d1].listen: "a" to "b"]}`},
		{map[string]string{"director[d2].memory": `"1GiB"`, "director[d2].listen": `"a"`, "poll.idle": `"2m"`},
			`{[director[d1].memory: "1GiB" to (not set) director[d2].memory: (not set) to "1GiB"] [director[d1].listen: "a" to (not set) director[d2].listen: (not set) to "a" service.route[read].slo: "1s" to (not set)]}`},
	} {
		if got := fmt.Sprint(Compare(before, c.after)); got != c.want {
			t.Errorf("got  %v\nwant %v", got, c.want)
		}
	}
}
