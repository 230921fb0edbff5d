package bundle

import (
	"bytes"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"unicode/utf8"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"

	"github.com/tailscale/hujson"
)

// Size limits of a bundle.
const (
	// MaxTextBytes is the maximum size of the text, including comments and whitespace.
	MaxTextBytes = 4 << 20
	// MaxMinimizedBytes is the maximum size of the text as standard JSON without comments and whitespace.
	MaxMinimizedBytes = 1 << 20
	// MaxDepth is the maximum nesting depth. The schema needs five levels.
	MaxDepth = 16
	// envelopeOverheadBytes is reserved for the operator name and the signature, because the store holds the bundle in
	// its signed envelope.
	envelopeOverheadBytes = 1 << 10
	// MaxCanonicalBytes is the maximum size of the canonical form.
	MaxCanonicalBytes = platform.MaxValueBytes - envelopeOverheadBytes
)

// Parse reads a bundle from JSON with comments, fills in the defaults and validates it. It returns all problems at
// once and uses name as their file name. The bundle is nil if there are any problems.
func Parse(name string, text []byte) (*Bundle, Problems) {
	r := &reporter{file: name, lines: map[string]int{"": 1}}
	value, ok := parseText(r, text)
	if !ok {
		return nil, r.sorted()
	}
	b := &Bundle{}
	d := &decoder{reporter: r, newlines: newlineOffsets(text), failedPaths: map[string]bool{}}
	d.decode(value, reflect.ValueOf(b).Elem(), "")
	fillDefaults(b, r)
	v := &validator{bundle: b, reporter: r, failedPaths: d.failedPaths}
	v.run()
	if len(r.problems) > 0 {
		return nil, r.sorted()
	}
	if size := len(b.Canonical()); size > MaxCanonicalBytes {
		r.add(result.BundleTooLarge, "", "%d bytes in canonical form, at most %d are allowed", size, MaxCanonicalBytes)
		return nil, r.sorted()
	}
	return b, nil
}

// parseText checks the size, nesting depth and encoding of the text and parses its syntax.
func parseText(r *reporter, text []byte) (hujson.Value, bool) {
	if len(text) > MaxTextBytes {
		r.add(result.BundleTooLarge, "", "%d bytes of text, at most %d are allowed", len(text), MaxTextBytes)
		return hujson.Value{}, false
	}
	if line := tooDeepLine(text); line > 0 {
		r.addLine(result.BundleTooLarge, line, "", "nested more than %d levels deep", MaxDepth)
		return hujson.Value{}, false
	}
	if line := invalidUTF8Line(text); line > 0 {
		r.addLine(result.BundleSyntax, line, "", "invalid UTF-8")
		return hujson.Value{}, false
	}
	value, err := hujson.Parse(text)
	if err != nil {
		line, detail := syntaxError(err)
		r.addLine(result.BundleSyntax, line, "", "%s", detail)
		return hujson.Value{}, false
	}
	if size := minimizedSize(value, text); size > MaxMinimizedBytes {
		r.add(result.BundleTooLarge, "", "%d bytes in standard JSON, at most %d are allowed", size, MaxMinimizedBytes)
		return hujson.Value{}, false
	}
	return value, true
}

// minimizedSize returns the size of the text without comments and whitespace. It returns the size of the unchanged text
// if that is already within MaxMinimizedBytes.
func minimizedSize(value hujson.Value, text []byte) int {
	if len(text) <= MaxMinimizedBytes {
		return len(text)
	}
	minimized := value.Clone()
	minimized.Minimize()
	return len(minimized.Pack())
}

var syntaxErrorPattern = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxError extracts the line and the detail from an error message of the parser.
func syntaxError(err error) (int, string) {
	parts := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if parts == nil {
		return 1, quote(err.Error())
	}
	line, _ := strconv.Atoi(parts[1])
	return line, "column " + parts[2] + ": " + quote(parts[3])
}

// invalidUTF8Line returns the line of the first invalid UTF-8 sequence, 0 if there is none.
func invalidUTF8Line(text []byte) int {
	if utf8.Valid(text) {
		return 0
	}
	for i := 0; i < len(text); {
		char, size := utf8.DecodeRune(text[i:])
		if char == utf8.RuneError && size == 1 {
			return 1 + bytes.Count(text[:i], []byte("\n"))
		}
		i += size
	}
	return 0
}

// tooDeepLine returns the line on which the nesting exceeds MaxDepth, 0 if it does not. It runs before the parser
// because the parser recurses without a depth limit.
func tooDeepLine(text []byte) int {
	depth, line := 0, 1
	for i := 0; i < len(text); i++ {
		end := i + skippedEnd(text[i:])
		line += bytes.Count(text[i:end], []byte("\n"))
		if i = end; i >= len(text) {
			break
		}
		switch text[i] {
		case '\n':
			line++
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return line
		}
	}
	return 0
}

// skippedEnd returns the offset of the last byte of the string or comment at the start of text. It returns 0 if text
// starts with neither, and len(text) if the string or comment is not terminated.
func skippedEnd(text []byte) int {
	switch {
	case text[0] == '"':
		return stringEnd(text)
	case bytes.HasPrefix(text, []byte("//")):
		return commentEnd(text, "\n")
	case bytes.HasPrefix(text, []byte("/*")):
		return commentEnd(text, "*/")
	}
	return 0
}

// stringEnd returns the offset of the closing quote of the string literal at the start of text.
func stringEnd(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// commentEnd returns the offset of the last byte of the terminator of the comment at the start of text.
func commentEnd(text []byte, terminator string) int {
	i := bytes.Index(text[2:], []byte(terminator))
	if i < 0 {
		return len(text)
	}
	return 2 + i + len(terminator) - 1
}

// newlineOffsets returns the offsets of all newlines in the text, in ascending order.
func newlineOffsets(text []byte) []int {
	var offsets []int
	for i, char := range text {
		if char == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

// lineAt returns the line number, counted from 1, of an offset.
func lineAt(newlines []int, offset int) int {
	return 1 + sort.SearchInts(newlines, offset)
}
