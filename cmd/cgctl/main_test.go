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

// TestExitCodes checks the exit codes that scripts rely on, and that errors with --output json print JSON instead of
// help.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	h := &harness{t: t, dir: t.TempDir()}
	is.NoErr(os.WriteFile(h.file("bad.jsonc"), []byte("{\n\"x\": 1}"), 0o600))
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
		{exitFailed, "bundle check " + h.file("none")},
		{exitFailed, "bundle check " + h.file("bad.jsonc")},
	}
	for _, test := range tests {
		h.runTool(test.code, strings.Fields(test.args)...)
		if out := h.runTool(test.code, strings.Fields("--output json "+test.args)...); test.code != exitOK && !json.Valid([]byte(out)) {
			t.Errorf("%s: output is not JSON: %q", test.args, out)
		}
	}
}

// TestOperatorKeyFiles checks that only the owner can read key files, and that existing ones are not overwritten.
func TestOperatorKeyFiles(t *testing.T) {
	is := is.New(t)
	h := &harness{t: t, dir: t.TempDir()}
	h.runTool(exitOK, "keys", "operator", "--dir", h.dir, "amara")
	for _, name := range []string{"amara.key", "amara.pub"} {
		info, err := os.Stat(h.file(name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	}
	before := readText(t, h.file("amara.key"))
	h.runTool(exitFailed, "keys", "operator", "--dir", h.dir, "amara")
	is.Equal(readText(t, h.file("amara.key")), before)
	h.runTool(exitUsage, "keys", "operator", "--dir", h.dir, "../x")
}

// TestNewBundles checks that generated bundles and the examples are valid, and that the team keys match the generated
// hashes.
func TestNewBundles(t *testing.T) {
	is := is.New(t)
	h := &harness{t: t, dir: t.TempDir()}
	for _, size := range []string{"1 1 1", "1 5 3", "3 4 7", "7 73 76"} {
		n := strings.Fields(size)
		file, keysFile := h.file("b"+n[1]), h.file("k"+n[1])
		h.runTool(exitOK, "bundle", "new", "--zones", n[0], "--upstreams", n[1], "--teams", n[2], "--out", file, "--keys-out", keysFile)
		h.runTool(exitOK, "bundle", "check", file)
		var keys map[string]string
		is.NoErr(json.Unmarshal([]byte(readText(t, keysFile)), &keys))
		parsed, problems := bundle.Parse(file, []byte(readText(t, file)))
		is.NoErr(problems.Err())
		team, _ := bundle.NewIndex(parsed).Key(keys["team-1"])
		is.Equal(team.Name, "team-1")
	}
	examples, _ := filepath.Glob("../../examples/*.jsonc")
	is.True(len(examples) > 0)
	h.runTool(exitOK, append([]string{"bundle", "check"}, examples...)...)
	out := h.runTool(exitOK, "bundle", "diff", examples[0], h.file("b1"))
	is.True(strings.Contains(out, "- availability_zones[zone-3]"))
}

// TestTaskRun checks that a task is sent to one host only, also if the connection closes before the answer, and that a
// result code other than 1000 (result.OK) is reported as a failure.
func TestTaskRun(t *testing.T) {
	is := is.New(t)
	h := &harness{t: t, dir: t.TempDir()}
	var received atomic.Int64 // atomic: an aborted connection does not synchronize the handler with the test
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
	out := h.runTool(exitOK, args...)
	is.True(strings.Contains(out, `"cut"`) && strings.Contains(out, "queue 1ms, reserve 0s, start 0s, run 20ms") && strings.Contains(out, "u-000"))
	is.Equal(received.Load(), int64(1))
	answer = `{"code": 2101, "message": "the team's queue is full", "run": "no"}`
	h.runTool(exitFailed, args...)
	answer = ""
	h.runTool(exitFailed, args...)
	is.Equal(received.Load(), int64(3))
}
