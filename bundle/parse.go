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

// Limits of a bundle's text.
const (
	// MaxTextBytes is the size of the largest text with comments.
	MaxTextBytes = 4 << 20
	// MaxStandardBytes is the size of the largest text in standard JSON, without comments and spaces.
	MaxStandardBytes = 1 << 20
	// MaxDepth is the deepest nesting. The schema needs five levels.
	MaxDepth = 16
	// envelopeBytes is reserved for operator name and signature, since the store holds the signed envelope.
	envelopeBytes = 1 << 10
	// MaxCanonicalBytes is the size of the largest canonical form.
	MaxCanonicalBytes = platform.MaxValueBytes - envelopeBytes
)

// Parse reads a bundle from JSON with comments, fills in the defaults and checks it. It returns all problems at
// once, with name as the file; the bundle is nil if there are any.
func Parse(name string, text []byte) (*Bundle, Problems) {
	r := &reporter{file: name, lines: map[string]int{"": 1}}
	value, ok := parseText(r, text)
	if !ok {
		return nil, r.sorted()
	}
	b := &Bundle{}
	d := &decoder{reporter: r, newlines: newlineOffsets(text), broken: map[string]bool{}}
	d.decode(value, reflect.ValueOf(b).Elem(), "")
	fillDefaults(b, r)
	v := &validator{bundle: b, reporter: r, broken: d.broken}
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

// parseText checks size, nesting and syntax.
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
	if size := standardSize(value, text); size > MaxStandardBytes {
		r.add(result.BundleTooLarge, "", "%d bytes in standard JSON, at most %d are allowed", size, MaxStandardBytes)
		return hujson.Value{}, false
	}
	return value, true
}

// standardSize returns the size of the text without comments and spaces, or the size of the text if that is small
// enough already.
func standardSize(value hujson.Value, text []byte) int {
	if len(text) <= MaxStandardBytes {
		return len(text)
	}
	small := value.Clone()
	small.Minimize()
	return len(small.Pack())
}

var syntaxErrorPattern = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxError splits the parser's message into line and detail.
func syntaxError(err error) (int, string) {
	parts := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if parts == nil {
		return 1, quote(err.Error())
	}
	line, _ := strconv.Atoi(parts[1])
	return line, "column " + parts[2] + ": " + quote(parts[3])
}

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

// tooDeepLine returns the line on which the nesting exceeds MaxDepth, 0 if it does not. It runs before the parser,
// because that one recurses without a limit.
func tooDeepLine(text []byte) int {
	depth, line := 0, 1
	for i := 0; i < len(text); i++ {
		skipped := i + skipLength(text[i:])
		line += bytes.Count(text[i:skipped], []byte("\n"))
		if i = skipped; i >= len(text) {
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

// skipLength returns the length of the string or comment at the start of text without its last byte, or 0.
func skipLength(text []byte) int {
	switch {
	case text[0] == '"':
		return stringLength(text)
	case bytes.HasPrefix(text, []byte("//")):
		return commentLength(text, "\n")
	case bytes.HasPrefix(text, []byte("/*")):
		return commentLength(text, "*/")
	}
	return 0
}

func stringLength(text []byte) int {
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

func commentLength(text []byte, end string) int {
	i := bytes.Index(text[2:], []byte(end))
	if i < 0 {
		return len(text)
	}
	return 2 + i + len(end) - 1
}

// newlineOffsets returns the offsets of all newlines.
func newlineOffsets(text []byte) []int {
	var offsets []int
	for i, char := range text {
		if char == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

// lineAt returns the line of an offset.
func lineAt(newlines []int, offset int) int {
	return 1 + sort.SearchInts(newlines, offset)
}
