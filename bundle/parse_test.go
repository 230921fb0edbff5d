package bundle

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"citrongauge.example/citrongauge/result"

	"github.com/matryer/is"
)

var wantPattern = regexp.MustCompile(`// want (.*)$`)

// wantedProblems returns the problems that a file declares in its comments "// want CODE PATH; ...", one per line in
// the form "LINE CODE PATH".
func wantedProblems(text []byte) string {
	var lines []string
	for i, line := range strings.Split(string(text), "\n") {
		match := wantPattern.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		for _, want := range strings.Split(match[1], "; ") {
			lines = append(lines, fmt.Sprintf("%d %s", i+1, want))
		}
	}
	return strings.Join(lines, "\n")
}

// formatProblems formats problems in the form that wantedProblems returns.
func formatProblems(problems Problems) string {
	var lines []string
	for _, p := range problems {
		lines = append(lines, strings.TrimSpace(fmt.Sprintf("%d %d %s", p.Line, p.Code, p.Path)))
	}
	return strings.Join(lines, "\n")
}

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func mustParse(t testing.TB, path string) *Bundle {
	t.Helper()
	b, problems := Parse(path, readFile(t, path))
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	return b
}

// TestInvalidBundles checks that each error in the files of testdata/bad is reported exactly once, with the right code,
// line and path.
func TestInvalidBundles(t *testing.T) {
	files, _ := filepath.Glob("testdata/bad/*.jsonc")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text := readFile(t, file)
			b, problems := Parse(file, text)
			if b != nil || formatProblems(problems) != wantedProblems(text) || wantedProblems(text) == "" {
				t.Errorf("got\n%s\nwant\n%s\nproblems\n%v", formatProblems(problems), wantedProblems(text), problems)
			}
		})
	}
	is.New(t).True(len(files) > 0)
}

// TestTextLimits checks that texts that are malformed, too large or too deeply nested are rejected with a single
// problem. Such texts could exhaust the memory or the stack, and invalid UTF-8 could corrupt an operator's terminal.
func TestTextLimits(t *testing.T) {
	tests := []struct {
		name string
		text string
		code result.Code
		line int
	}{
		{"empty", "", result.BundleSyntax, 1},
		{"comment without end", "{}\n/* x", result.BundleSyntax, 2},
		{"two values", "{}\n{}", result.BundleSyntax, 2},
		{"invalid UTF-8", "{\n\"author\": \"\xff\"}", result.BundleSyntax, 2},
		{"deep", "\n" + strings.Repeat("[", 1<<20), result.BundleTooLarge, 2},
		{"long standard JSON", `{"reason": "` + strings.Repeat("x", MaxMinimizedBytes) + `"}`, result.BundleTooLarge, 1},
		{"long text", "{}" + strings.Repeat(" ", MaxTextBytes), result.BundleTooLarge, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b, problems := Parse("x", []byte(test.text))
			is.True(b == nil)
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Code, test.code)
			is.Equal(problems[0].Line, test.line)
		})
	}
}

// TestMinimizedSizeAndProblemLimit checks that comments do not count towards MaxMinimizedBytes, and that at most
// maxProblems problems are listed.
func TestMinimizedSizeAndProblemLimit(t *testing.T) {
	is := is.New(t)
	text := readFile(t, "testdata/good/defaults.jsonc")
	text = append(text, "// "+strings.Repeat("x", MaxMinimizedBytes)+"\n"...)
	_, problems := Parse("x", text)
	is.Equal(len(problems), 0)
	_, problems = Parse("x", []byte(`{"hosts": [`+strings.Repeat("1,", 100_000)+`]}`))
	is.Equal(len(problems), maxProblems)
	is.True(strings.Contains(problems.Error(), "further problems are not listed"))
}

// TestDefaults checks the defaults, and that they do not replace explicit values such as a serve_for_ms of 0.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	b := mustParse(t, "testdata/good/defaults.jsonc")
	is.Equal(b.Isolation.ServeForMS, int64(600_000))
	is.Equal(b.Zones[0].RampMS, int64(30_000))
	is.Equal(b.Zones[0].RunningWork, WorkFinish)
	is.Equal(b.Hosts[0].Connections, 64)
	is.Equal(b.Pools[0].DrainMS, int64(120_000))
	is.Equal(b.Queues[0].MaxQueued, 1000)
	is.Equal(b.Queues[0].MaxDeadlineMS, int64(600_000))
	is.Equal(b.Teams[0].RunningWork, WorkFinish)
	is.Equal(b.Teams[0].Keys[0].RunningWork, WorkFinish)

	full := mustParse(t, "testdata/good/full.jsonc")
	is.Equal(full.Isolation.ServeForMS, int64(0))
	is.Equal(full.Zones[0].RampMS, int64(0))
	again, problems := Parse("canonical", full.Canonical())
	is.Equal(problems.Code(), result.OK)
	is.Equal(again, full) // the canonical form preserves an explicit 0
}
