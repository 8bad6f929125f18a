// Command ci checks what .ci/run can't say in shell: `ci linked FILE` that a program is linked dynamically against the C library,
// `ci red FILE` that the list of tests at fault is right. For the list it prints the pattern of what go test is to pass over, and
// the list itself on standard error.
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
			fmt.Fprint(os.Stderr, "known to fail, passed over:\n", string(text))
			fmt.Printf("^(%s)$\n", strings.Join(tests, "|"))
		}
	default:
		exitOnError(errors.New("usage: ci linked|red FILE"))
	}
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
		os.Exit(1)
	}
}

// linked says what is wrong with how a program is linked.
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
	loads := slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
	if !loads || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("%s is not linked dynamically against the C library: it needs %q", path, libraries)
	}
	return nil
}

var (
	testNamePattern = regexp.MustCompile(`^Test\w+$`)
	issuePattern    = regexp.MustCompile(`^issue \d+$`)
)

// red reads the list: a line each, `test | cause | issue N`. Each test stands once in the tree, so that no other is passed over
// for its name.
func parseKnownFailures(text string, tree fs.FS) (tests []string, err error) {
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if line == "" && text == "" {
			return nil, nil
		}
		wrong := func(why string) error { return fmt.Errorf("line %d of the tests known to fail: %s", i+1, why) }
		if i >= maxKnownFailures {
			return nil, wrong(fmt.Sprintf("there may be %d", maxKnownFailures))
		}
		parts := strings.Split(line, "|")
		if len(parts) != 3 {
			return nil, wrong("it is not `test | cause | issue N`")
		}
		test, cause, number := strings.TrimSpace(parts[0]), strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])
		switch n, err := countDeclarations(test, tree); {
		case !testNamePattern.MatchString(test):
			return nil, wrong(fmt.Sprintf("%q is no name of a test", test))
		case cause == "":
			return nil, wrong("the cause is missing")
		case !issuePattern.MatchString(number):
			return nil, wrong(fmt.Sprintf("%q is no issue", number))
		case err != nil:
			return nil, err
		case n != 1:
			return nil, wrong(fmt.Sprintf("%s is declared %d times", test, n))
		case slices.Contains(tests, test):
			return nil, wrong(test + " stands there twice")
		}
		tests = append(tests, test)
	}
	return tests, nil
}

// declared is how often a test is declared in the tree.
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
