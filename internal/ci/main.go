// Command ci performs checks for .ci/run that are not practical in a shell script. "ci linked FILE" checks that a
// program is linked dynamically against the C library. "ci red FILE" checks the list of tests that are known to fail;
// it prints a pattern for the -skip flag of go test to standard output and the list itself to standard error.
package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// maxKnownFailures limits how many tests may be listed as known to fail.
const maxKnownFailures = 3

func main() {
	if len(os.Args) != 3 {
		exitOnError(errors.New("usage: ci linked|red FILE"))
	}
	switch os.Args[1] {
	case "linked":
		exitOnError(checkLinking(os.Args[2]))
	case "red":
		text, err := os.ReadFile(os.Args[2])
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			exitOnError(err)
		}
		tests, err := parseKnownFailures(string(text), os.DirFS("."))
		exitOnError(err)
		if len(tests) > 0 {
			fmt.Fprint(os.Stderr, "skipped, known to fail:\n", string(text))
			fmt.Printf("^(%s)$\n", strings.Join(tests, "|"))
		}
	default:
		exitOnError(errors.New("usage: ci linked|red FILE"))
	}
}

// exitOnError prints an error and exits with status 1, unless err is nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
		os.Exit(1)
	}
}

// checkLinking returns an error unless the program is linked dynamically against the C library.
func checkLinking(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil {
		return err
	}
	hasInterpreter := slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
	if !hasInterpreter || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("%s is not linked dynamically against the C library: it needs %q", path, libraries)
	}
	return nil
}

var (
	testNamePattern = regexp.MustCompile(`^Test\w+$`)
	issuePattern    = regexp.MustCompile(`^issue \d+$`)
)

// parseKnownFailures parses the list of tests that are known to fail, with lines of the form `test | cause | issue N`.
// A listed test must be declared exactly once in the tree, so that no other test of the same name is skipped.
func parseKnownFailures(text string, tree fs.FS) (tests []string, err error) {
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if line == "" && text == "" {
			return nil, nil
		}
		lineError := func(why string) error { return fmt.Errorf("known failures, line %d: %s", i+1, why) }
		if i >= maxKnownFailures {
			return nil, lineError(fmt.Sprintf("at most %d tests may be listed", maxKnownFailures))
		}
		parts := strings.Split(line, "|")
		if len(parts) != 3 {
			return nil, lineError("line is not of the form `test | cause | issue N`")
		}
		test, cause, issue := strings.TrimSpace(parts[0]), strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])
		switch n, err := countDeclarations(test, tree); {
		case !testNamePattern.MatchString(test):
			return nil, lineError(fmt.Sprintf("%q is not a valid test name", test))
		case cause == "":
			return nil, lineError("cause is missing")
		case !issuePattern.MatchString(issue):
			return nil, lineError(fmt.Sprintf("%q is not of the form `issue N`", issue))
		case err != nil:
			return nil, err
		case n != 1:
			return nil, lineError(fmt.Sprintf("%s is declared %d times, want 1", test, n))
		case slices.Contains(tests, test):
			return nil, lineError(test + " is listed twice")
		}
		tests = append(tests, test)
	}
	return tests, nil
}

// countDeclarations returns how often a test is declared in the test files of the tree.
func countDeclarations(test string, tree fs.FS) (n int, err error) {
	err = fs.WalkDir(tree, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			if err == nil && d.IsDir() && path != "." && strings.HasPrefix(filepath.Base(path), ".") {
				return fs.SkipDir
			}
			return err
		}
		text, err := fs.ReadFile(tree, path)
		n += strings.Count("\n"+string(text), "\nfunc "+test+"(t *testing.T)")
		return err
	})
	return n, err
}
