package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against SIGHUP ending the process: the platform sends it when the settings file has changed (6 exits on a
// drawn day of karri).
func TestHangupReloadsTheSettings(t *testing.T) {
	is := is.New(t)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer store.Close()
	internal := freeAddress(t)
	settings := filepath.Join(t.TempDir(), "local.toml")
	content := fmt.Sprintf(`node_name = "edge-1"
ip = "127.0.0.1"
zone = "a"
internal_ports = [%s, 1]
[listen]
frontend = "%s"
readiness = "%s"
[bounds]
hold_max_ms = 10000
grace_s = 2
[platform]
address = "%s"
`, internal[strings.LastIndex(internal, ":")+1:], freeAddress(t), freeAddress(t), store.Listener.Addr())
	is.NoErr(os.WriteFile(settings, []byte(content), 0o600))
	logs := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(logs)
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	process := exec.Command(daemonBinary, "entry", "--settings", settings)
	process.Stdout, process.Stderr = file, file
	is.NoErr(process.Start())
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	waitForLog(t, logs, `"msg":"start"`)
	is.NoErr(process.Process.Signal(syscall.SIGHUP))
	waitForLog(t, logs, `"msg":"reload"`)
	is.NoErr(process.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		_ = process.Process.Kill()
		t.Fatal("did not stop")
	}
}

func waitForLog(t *testing.T, path, text string) {
	t.Helper()
	for range 200 {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(content), text) {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("no %s in the log", text)
}
