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
		"b/b_test.go": {Data: []byte("package b\nfunc TestB(t *testing.T) {}\nfunc TestC(t *testing.T) {}\n" +
			"func TestD(t *testing.T) {}\n")},
		"b/b.go":          {Data: []byte("package b\nfunc TestE(t *testing.T) {}\n")},
		"review/3/run.sh": {Data: []byte("#!/bin/bash\n")},
		".x/hid_test.go":  {Data: []byte("package x\nfunc TestA(t *testing.T) {}\n")}}
	for text, want := range map[string]string{
		"": "", "TestA | .ci/run, no seed | late lists | issue 26\n": "TestA",
		"TestA | a, seed 1 | x | issue 1\nTestC | b, seed 2 | y | issue 2\nTestD | c, no seed | z | issue 3\n" +
			"review/3/run.sh | alone, no seed | w | issue 1\n": "TestA TestC TestD",
		"review/3/run.sh | alone, no seed | w | issue 1": "",
	} {
		if got, err := parseKnownFailures(text, tree); err != nil || strings.Join(goTests(got), " ") != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	for text, why := range map[string]string{
		"TestA | c | | issue 1": "what was seen", "TestA | | x | issue 1": "command", "TestA | x | issue 1": "line 1",
		"TestA | c | x": "line 1", "TestA | c | x | y | issue 1": "line 1", "TestA | c | x | soon": "issue",
		"TestA | c | x | ": "issue", " | c | x | issue 1": "name", "TestB | c | x | issue 1": "2 times",
		"TestE | c | x | issue 1": "0 times", "TestA | c | x | issue 1\nTestA | d | y | issue 2": "twice",
		"Test.* | c | x | issue 1": "name", "TestA/sub | c | x | issue 1": "name",
		"\nTestA | c | x | issue 1\n\nTestC | c | x | issue 1":                 "line 2",
		"review/4/run.sh | c | x | issue 1":                                    "review/4/run.sh",
		"review/build.sh | c | x | issue 1":                                    "name",
		"review/3/run.sh | c | x | issue 1\nreview/3/run.sh | c | x | issue 1": "twice",
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
