package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the table in docs/ERRORS.md")

const (
	docsFile   = "../docs/ERRORS.md"
	tableStart = "<!-- table: go test ./result -update -->\n"
	tableEnd   = "<!-- end of table -->\n"
)

func markdownTable() string {
	var b strings.Builder
	b.WriteString("| Code | Name | Meaning | Was it run? | May the caller repeat it? | After |\n|---|---|---|---|---|---|\n")
	for _, info := range All() {
		after := ""
		if info.RetryAfter > 0 {
			after = info.RetryAfter.String()
		}
		run := string(info.Run)
		if info.Run == RunNotApplicable {
			run = ""
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s | %s |\n", info.Code, info.Name, info.Message, run, info.Retry, after)
	}
	return b.String()
}

// Guards against a table in docs/ERRORS.md that differs from the codes. The flag -update rewrites the table.
func TestTableInDocs(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(docsFile)
	is.NoErr(err)
	before, rest, ok := strings.Cut(string(data), tableStart)
	is.True(ok) // start marker
	table, after, ok := strings.Cut(rest, tableEnd)
	is.True(ok) // end marker
	if *update {
		is.NoErr(os.WriteFile(docsFile, []byte(before+tableStart+markdownTable()+tableEnd+after), 0o644))
		return
	}
	is.Equal(table, markdownTable())
}

// Guards against a code whose number is in the wrong range for its statement on whether the work was run, and against a
// code that allows a retry with a new request ID although the work may have run, which could run it twice.
func TestCodeRangesAgreeWithRun(t *testing.T) {
	for _, info := range All() {
		var want Run
		switch info.Code / 1000 {
		case 2:
			want = RunNo
		case 3:
			want = RunUnknown
		case 4:
			want = RunYes
		case 5:
			want = RunNotApplicable
		default:
			continue
		}
		if info.Run != want {
			t.Errorf("%d %s: unexpected Run %q", info.Code, info.Name, info.Run)
		}
		if info.Run == RunUnknown && info.Retry == RetryAny {
			t.Errorf("%d %s allows a retry with a new request ID although the work may have run", info.Code, info.Name)
		}
	}
}
