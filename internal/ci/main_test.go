package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"
)

func TestParseKnownFailures(t *testing.T) {
	tree := fstest.MapFS{"a/a_test.go": {Data: []byte("package a\nfunc TestA(t *testing.T) {}\nfunc TestB(t *testing.T) {}\n")},
		"b/b_test.go":    {Data: []byte("package b\nfunc TestB(t *testing.T) {}\nfunc TestC(t *testing.T) {}\nfunc TestD(t *testing.T) {}\n")},
		"b/b.go":         {Data: []byte("package b\nfunc TestE(t *testing.T) {}\n")},
		".x/hid_test.go": {Data: []byte("package x\nfunc TestA(t *testing.T) {}\n")}}
	for text, want := range map[string]string{
		"": "", "TestA | late lists | issue 26\n": "TestA",
		"TestA | x | issue 1\nTestC | y | issue 2\nTestD | z | issue 3\n": "TestA TestC TestD",
	} {
		if got, err := parseKnownFailures(text, tree); err != nil || strings.Join(got, " ") != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	for text, why := range map[string]string{
		"TestA | x | issue 1\nTestC | y | issue 2\nTestD | z | issue 3\nTestD | z | issue 3": "line 4", "TestA | | issue 1": "cause",
		"TestA | x": "line 1", "TestA | x | soon": "issue", "TestB | x | issue 1": "2 times", "TestE | x | issue 1": "0 times",
		"TestA | x | issue 1\nTestA | x | issue 1": "twice", "Test.* | x | issue 1": "name", "TestA/sub | x | issue 1": "name",
		"\nTestA | x | issue 1\n\nTestC | x | issue 1": "line 2",
	} {
		if got, err := parseKnownFailures(text, tree); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%q: %v, %v; want an error containing %q", text, got, err, why)
		}
	}
}

func TestCheckLinkingRejectsStaticBinaries(t *testing.T) {
	dir := t.TempDir()
	for mode, good := range map[string]bool{"0": false, "1": true} {
		out, text, args := filepath.Join(dir, "prog"+mode), "package main\nfunc main() {}\n", []string{"build", "-o"}
		if good {
			text = "package main\nimport \"C\"\nfunc main() {}\n"
			args = []string{"build", "-ldflags=-linkmode=external", "-o"}
		}
		os.WriteFile(filepath.Join(dir, "main.go"), []byte(text), 0o600)
		build := exec.Command("go", append(args, out, filepath.Join(dir, "main.go"))...)
		build.Env = append(os.Environ(), "CGO_ENABLED="+mode)
		if text, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, text)
		}
		if err := checkLinking(out); (err == nil) != good {
			t.Errorf("cgo %s: %v", mode, err)
		}
	}
	if checkLinking(filepath.Join(dir, "main.go")) == nil {
		t.Error("a text file was accepted as a program")
	}
}
