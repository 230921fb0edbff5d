package bundle

import (
	"fmt"
	"sort"
	"strings"

	"citrongauge.example/citrongauge/result"
)

// maxProblems limits the number of problems that are reported for one bundle, because a malicious text of 1 MiB can
// contain hundreds of thousands.
const maxProblems = 200

// maxQuotedBytes is the maximum length of a quotation from the text in a problem.
const maxQuotedBytes = 80

// Problem is one error in a bundle.
type Problem struct {
	Code result.Code `json:"code"`
	File string      `json:"file"`
	Line int         `json:"line"`
	// Path is the path of the field, such as pools[2].hosts[1]. It is empty for the whole text.
	Path   string `json:"path"`
	Detail string `json:"detail"`
}

// String formats the problem as one line that starts with file and line.
func (p Problem) String() string {
	text := fmt.Sprintf("%s:%d: %d %s", p.File, p.Line, p.Code, result.Lookup(p.Code).Message)
	if p.Path != "" {
		text = fmt.Sprintf("%s:%d: %s: %d %s", p.File, p.Line, p.Path, p.Code, result.Lookup(p.Code).Message)
	}
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text
}

// Problems lists the errors in a bundle, sorted by line.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Code returns the code of the first problem, or result.OK if there are none.
func (ps Problems) Code() result.Code {
	if len(ps) == 0 {
		return result.OK
	}
	return ps[0].Code
}

// reporter collects problems.
type reporter struct {
	file string
	// lines maps the paths in the text to their lines.
	lines    map[string]int
	problems Problems
	// omitted counts the problems beyond maxProblems.
	omitted int
}

// add reports a problem at a path, with the line that lineOf returns.
func (r *reporter) add(code result.Code, path, format string, args ...any) {
	r.addLine(code, r.lineOf(path), path, format, args...)
}

// addLine reports a problem at a path and line.
func (r *reporter) addLine(code result.Code, line int, path, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		r.omitted++
		return
	}
	detail := fmt.Sprintf(format, args...)
	r.problems = append(r.problems, Problem{Code: code, File: r.file, Line: line, Path: path, Detail: detail})
}

// lineOf returns the line of a path. If the text does not contain the path, it returns the line of the closest
// ancestor.
func (r *reporter) lineOf(path string) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return max(r.lines[""], 1)
}

// present reports whether the text contains the path.
func (r *reporter) present(path string) bool {
	_, ok := r.lines[path]
	return ok
}

// sorted returns the problems sorted by line and path.
func (r *reporter) sorted() Problems {
	sort.SliceStable(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Path < b.Path
	})
	if r.omitted > 0 {
		last := &r.problems[len(r.problems)-1]
		last.Detail += fmt.Sprintf(" (%d further problems are not listed)", r.omitted)
	}
	return r.problems
}

// parentPath returns the path of the object or list that contains path.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// quote returns text in double quotes with control characters escaped, truncated to maxQuotedBytes.
func quote(text string) string {
	if len(text) > maxQuotedBytes {
		return fmt.Sprintf("%q...", text[:maxQuotedBytes])
	}
	return fmt.Sprintf("%q", text)
}
