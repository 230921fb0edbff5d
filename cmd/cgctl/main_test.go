package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"citrongauge.example/citrongauge/bundle"

	"github.com/matryer/is"
)

func readText(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against exit codes that scripts cannot rely on, and against help in the place of JSON.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	b := &bench{t: t, dir: t.TempDir()}
	is.NoErr(os.WriteFile(b.file("bad.jsonc"), []byte("{\n\"x\": 1}"), 0o600))
	tests := []struct {
		code int
		args string
	}{
		{exitOK, "--help"},
		{exitOK, "keys team"},
		{exitUsage, "bogus"},
		{exitUsage, "keys operator"},
		{exitUsage, "keys team --bogus"},
		{exitUsage, "--output xml keys team"},
		{exitUsage, "bundle new --zones x"},
		{exitUsage, "bundle new --zones 0"},
		{exitUsage, "bundle new --base-port 65530"},
		{exitUsage, "bundle check"},
		{exitUsage, "status"},
		{exitUsage, "host drain u-000 --reason x"},
		{exitUsage, "task run --queue q"},
		{exitFailed, "bundle check " + b.file("none")},
		{exitFailed, "bundle check " + b.file("bad.jsonc")},
	}
	for _, test := range tests {
		b.tool(test.code, strings.Fields(test.args)...)
		if out := b.tool(test.code, strings.Fields("--output json "+test.args)...); test.code != exitOK && !json.Valid([]byte(out)) {
			t.Errorf("%s: output is not JSON: %q", test.args, out)
		}
	}
}

// Guards against private keys that others can read, and against keys that are overwritten.
func TestOperatorKeyFiles(t *testing.T) {
	is := is.New(t)
	b := &bench{t: t, dir: t.TempDir()}
	b.tool(exitOK, "keys", "operator", "--dir", b.dir, "amara")
	for _, name := range []string{"amara.key", "amara.pub"} {
		info, err := os.Stat(b.file(name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	}
	before := readText(t, b.file("amara.key"))
	b.tool(exitFailed, "keys", "operator", "--dir", b.dir, "amara")
	is.Equal(readText(t, b.file("amara.key")), before)
	b.tool(exitUsage, "keys", "operator", "--dir", b.dir, "../x")
}

// Guards against starting bundles and examples that the checks refuse, and keys that do not match.
func TestNewBundles(t *testing.T) {
	is := is.New(t)
	b := &bench{t: t, dir: t.TempDir()}
	for _, size := range []string{"1 1 1", "1 5 3", "3 4 7", "7 73 76"} {
		n := strings.Fields(size)
		file, keysFile := b.file("b"+n[1]), b.file("k"+n[1])
		b.tool(exitOK, "bundle", "new", "--zones", n[0], "--upstreams", n[1], "--teams", n[2], "--out", file, "--keys-out", keysFile)
		b.tool(exitOK, "bundle", "check", file)
		var keys map[string]string
		is.NoErr(json.Unmarshal([]byte(readText(t, keysFile)), &keys))
		parsed, problems := bundle.Parse(file, []byte(readText(t, file)))
		is.NoErr(problems.Err())
		team, _ := bundle.NewIndex(parsed).Key(keys["team-1"])
		is.Equal(team.Name, "team-1")
	}
	examples, _ := filepath.Glob("../../examples/*.jsonc")
	is.True(len(examples) > 0)
	b.tool(exitOK, append([]string{"bundle", "check"}, examples...)...)
	out := b.tool(exitOK, "bundle", "diff", examples[0], b.file("b1"))
	is.True(strings.Contains(out, "- availability_zones[zone-3]"))
}

// Guards against a task that is sent twice, and against an answer that is taken for a success.
func TestTaskRun(t *testing.T) {
	is := is.New(t)
	b := &bench{t: t, dir: t.TempDir()}
	var received atomic.Int64 // a closed connection does not order the handler before the test
	answer := `{"code": 1000, "message": "done", "run": "yes", "host": "e1", "zone": "zone-1", "upstream": "u-000",
		"output": "` + base64.StdEncoding.EncodeToString([]byte("cut")) + `", "steps": {"queue_us": 1000, "run_us": 20000}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		var task taskRequest
		is.NoErr(json.NewDecoder(r.Body).Decode(&task))
		is.Equal(string(task.Payload), "panel")
		is.Equal(r.URL.Path, "/v1/queues/main/tasks")
		is.Equal(r.Header.Get("Authorization"), "Bearer cgk_x")
		if answer == "" {
			panic(http.ErrAbortHandler) // closes the connection
		}
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	host := strings.TrimPrefix(server.URL, "http://")
	args := []string{"--host", "127.0.0.1:1", "--host", host, "--host", host, "task", "run", "--queue", "main", "--key", "cgk_x", "--payload", "panel"}
	out := b.tool(exitOK, args...)
	is.True(strings.Contains(out, `"cut"`) && strings.Contains(out, "queue 1ms, reserve 0s, start 0s, run 20ms") && strings.Contains(out, "u-000"))
	is.Equal(received.Load(), int64(1))
	answer = `{"code": 2101, "message": "the team's queue is full", "run": "no"}`
	b.tool(exitFailed, args...)
	answer = ""
	b.tool(exitFailed, args...)
	is.Equal(received.Load(), int64(3))
}
