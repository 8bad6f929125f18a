package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExitStatuses(t *testing.T) {
	dir := t.TempDir()
	good, wrong := filepath.Join(dir, "good.hcl"), filepath.Join(dir, "wrong.hcl")
	text, err := os.ReadFile("../../internal/rehearse/days/director.hcl")
	if err != nil {
		t.Fatal(err)
	}
	valid := strings.NewReplacer("{{.Listen}}", "127.0.0.1:0", "{{.Admin}}", "127.0.0.1:1", "{{.Store}}", "d.db", "{{.Proxies}}", "24", "{{.Lines}}", "8000",
		"{{.Roster}}", "http://127.0.0.1:1", "{{.Name}}", "d1", "{{.Custody}}", "", "{{.MQTT}}", "").Replace(string(text))
	os.WriteFile(good, []byte(valid), 0o600)
	os.WriteFile(wrong, []byte(strings.Replace(valid, "slices    = 64", "slices = 0.5", 1)), 0o600)
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"--help", 0, "rehearse"}, {"run --help", 0, "settings"}, {"host --help", 0, "stand-in host"}, {"check " + good, 0, "64 slices of keys"},
		{"check " + wrong, 2, "wrong.hcl:12:12: slices: 0.5 is not a whole number"}, {"check /nowhere.hcl", 2, "nowhere.hcl"},
		{"rehearse no-such-day", 2, "no-such-day"}, {"sing", 2, "unexpected argument sing"}, {"", 2, "expected one of"},
		{"run " + good + " --log-level=loud", 2, "log-level"}, {"rehearse " + wrong, 2, "knows no"}, {"run " + wrong, 2, "wrong.hcl"},
	} {
		var stdout, stderr bytes.Buffer
		if status := run(strings.Fields(c.args), &stdout, &stderr); status != c.status || !strings.Contains(stdout.String()+stderr.String(), c.want) {
			t.Errorf("vetchwood %s: exit status %d: %s%s", c.args, status, stdout.String(), stderr.String())
		}
	}
}
