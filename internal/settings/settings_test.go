package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"vetchwood/logic"
)

// validSettings returns the settings file of a rehearsal with its placeholders filled in.
func validSettings(t *testing.T) string {
	text, err := os.ReadFile("../rehearse/days/director.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("{{.Listen}}", "127.0.0.1:8480", "{{.Admin}}", "127.0.0.1:8481", "{{.Store}}", "d.db", "{{.Proxies}}", "24", "{{.Lines}}", "8000",
		"{{.Roster}}", "http://127.0.0.1:8500", "{{.Name}}", "d1", "{{.Custody}}", "", "{{.MQTT}}", "").Replace(string(text))
}

func TestValidFile(t *testing.T) {
	s, err := ParseDirector("/etc/v/d.hcl", []byte(validSettings(t)))
	if err != nil {
		t.Fatal(err)
	}
	f := s.Service.Config
	if s.Name != "d1" || s.StorePath != "/etc/v/d.db" || f.Slices != 64 || f.DrainGrace != 2500 || f.Levels != logic.LevelShare ||
		!f.MayProbe || len(f.Routes) != 2 || f.Routes[1].Idempotency != logic.IdempotentByKey || f.Routes[1].DedupScope != logic.DedupCell ||
		f.Routes[1].DedupWindow != 4000 || !f.Routes[1].IsWrite || s.Service.Routes[1].Name != "batch-note" ||
		f.LoadColumns[0] != "utilization" || s.Service.ProxyNames.MatchString("x-relay-1") || f.Directors != 1 {
		t.Fatalf("%+v", s)
	}
}

// Each error in a file is reported with its position, and all of them together.
func TestInvalidFile(t *testing.T) {
	for change, want := range map[string]string{
		`admin  = "127.0.0.1:8481"|admin = "127.0.0.1:8480"`:             ":4:11: admin: is the same socket as listen",
		`listen = "127.0.0.1:8480"|listen = "nowhere"`:                   `"nowhere" is not a host:port address`,
		`zone   = "plateau"|zone = "moon"`:                               `zone "moon" is not among them`,
		`pick      = "lottery"|pick = "luck"`:                            `"luck" is not one of lottery, wheel, pair`,
		`slices    = 64|slices = 64.5`:                                   "64.5 is not a whole number",
		`slices    = 64|slices = -1`:                                     "-1 is not between 0 and 4096",
		`slo        = "1.2s"|slo = 1200`:                                 `"1200" is not a duration with a unit`,
		`time_limit = "3s"|time_limit = "1s"`:                            "shorter than the SLO time",
		`reach      = "cell"|`:                                           "reach and span are required on keyed routes",
		`route "batch-note"|route "formula-read"`:                        `route "formula-read" is declared twice`,
		`warm_after   = "12s"|`:                                          "hosts needs warm_after",
		`tip_multiple = 3|tip_multiple = 0`:                              "0 is not between 1 and 1000",
		`load         = ["busy", "rate"]|load = ["busy", "busy"]`:        `"busy" is listed twice`,
		`load         = ["busy", "rate"]|load = ["heat"]`:                `"heat" is not one of`,
		`most            = 24|most = 0`:                                  "0 is not between 1 and 65535",
		`names           = "relay-[0-9]+"|names = "("`:                   "not a valid regular expression",
		`queue_lines      = 8000|queue_lines = 10`:                       "10 is less than 864",
		`transit          = "20ms"|transit = "20m"`:                      "20m0s is not between",
		`worst_transit    = "250ms"|worst_transit = "1ms"`:               "is shorter than transit",
		`consul  = "{r}"|consul = "ftp://x"`:                             "is not an http URL",
		`wait    = "20s"|wait = "11m"`:                                   "11m0s is not between 100ms and 10m0s",
		`head_lines       = 16|head_line = 16`:                           "channel knows no head_line",
		`roster {|rooster {`:                                             "the file knows no block rooster",
		`reports {|reports "x" {`:                                        "reports takes 0 labels, not 1",
		`service {|service = 3` + "\n" + `service {`:                     "the file knows no service",
		`every            = "500ms"|every = 5 + `:                        "Invalid expression",
		`lines_per_second = 300|lines_per_second = "x"`:                  "is not a number",
		`reports {|poll {` + "\n longest_wait = \"5m\"\n}\nreports {":    "longer than the idle timeout of a connection",
		`reports {|poll {` + "\n most_head = \"16 pages\"\n}\nreports {": "is not a size with a unit",
	} {
		from, to, _ := strings.Cut(strings.ReplaceAll(change, "{r}", "http://127.0.0.1:8500"), "|")
		_, err := ParseDirector("d.hcl", []byte(strings.Replace(validSettings(t), from, to, 1)))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "d.hcl:") {
			t.Errorf("%s: error %v, want one that contains %s", change, err, want)
		}
	}
	_, err := ParseDirector("d.hcl", []byte(strings.NewReplacer(`slices    = 64`, `slices = -1`, `most            = 24`, `most = 0`,
		`"lottery"`, `"luck"`).Replace(validSettings(t))))
	var all *InvalidError
	if !errors.As(err, &all) || len(all.Problems) != 3 {
		t.Fatalf("three errors in a file are reported as %v", err)
	}
}

func TestMissingFile(t *testing.T) {
	if _, err := LoadDirector("/nowhere/d.hcl"); err == nil {
		t.Fatal("loading a missing file returned no error")
	}
}
