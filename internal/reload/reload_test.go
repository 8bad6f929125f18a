package reload

import (
	"fmt"
	"testing"
)

func TestWhatTakesEffectNow(t *testing.T) {
	was := map[string]string{"director[d1].memory": `"1GiB"`, "director[d1].listen": `"a"`, "poll.idle": `"2m"`, "service.route[read].slo": `"1s"`}
	for _, c := range []struct {
		is   map[string]string
		want string
	}{
		{was, "{[] []}"},
		{map[string]string{"director[d1].memory": `"2GiB"`, "director[d1].listen": `"a"`, "poll.idle": `"1m"`, "service.route[read].slo": `"1s"`},
			`{[director[d1].memory: "1GiB" to "2GiB" poll.idle: "2m" to "1m"] []}`},
		{map[string]string{"director[d1].memory": `"1GiB"`, "director[d1].listen": `"b"`, "service.route[read].slo": `"1s"`, "history.age": `"1h"`},
			`{[history.age: (not stated) to "1h" poll.idle: "2m" to (not stated)] [director[d1].listen: "a" to "b"]}`},
		{map[string]string{"director[d2].memory": `"1GiB"`, "director[d2].listen": `"a"`, "poll.idle": `"2m"`},
			`{[director[d1].memory: "1GiB" to (not stated) director[d2].memory: (not stated) to "1GiB"] [director[d1].listen: "a" to (not stated) director[d2].listen: (not stated) to "a" service.route[read].slo: "1s" to (not stated)]}`},
	} {
		if got := fmt.Sprint(Compare(was, c.is)); got != c.want {
			t.Errorf("%v\nwanted %v", got, c.want)
		}
	}
}
