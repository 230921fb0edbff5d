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

// TestSIGHUPReloadsSettings guards against SIGHUP terminating the process. The platform sends SIGHUP when the settings
// file has changed (6 exits in one randomly generated test day of the karri deployment).
func TestSIGHUPReloadsSettings(t *testing.T) {
	is := is.New(t)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer store.Close()
	internalAddress := freeAddress(t)
	settingsPath := filepath.Join(t.TempDir(), "local.toml")
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
`, internalAddress[strings.LastIndex(internalAddress, ":")+1:], freeAddress(t), freeAddress(t), store.Listener.Addr())
	is.NoErr(os.WriteFile(settingsPath, []byte(content), 0o600))
	logPath := filepath.Join(t.TempDir(), "log")
	logFile, err := os.Create(logPath)
	is.NoErr(err)
	defer func() { _ = logFile.Close() }()
	process := exec.Command(daemonBinary, "entry", "--settings", settingsPath)
	process.Stdout, process.Stderr = logFile, logFile
	is.NoErr(process.Start())
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	waitForLog(t, logPath, `"msg":"start"`)
	is.NoErr(process.Process.Signal(syscall.SIGHUP))
	waitForLog(t, logPath, `"msg":"reload"`)
	is.NoErr(process.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		_ = process.Process.Kill()
		t.Fatal("daemon did not exit within 10 s of SIGTERM")
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
	t.Fatalf("%s did not appear in the log", text)
}
