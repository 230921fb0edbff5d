package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestJobCommands checks the queue, path, key and body of the requests that the job commands send, and that an error
// status is reported as an error.
func TestJobCommands(t *testing.T) {
	is := is.New(t)
	var seen []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		seen = append(seen, strings.Join([]string{r.Method, r.Host, r.URL.Path, r.Header.Get("Authorization"), string(body)}, " "))
		if strings.HasSuffix(r.URL.Path, "gone") {
			w.WriteHeader(http.StatusGone)
		}
		_, _ = io.WriteString(w, `{"phase":"active"}`)
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	is.NoErr(os.WriteFile(file, []byte(`{"steps":[]}`), 0o600))
	run := func(arguments ...string) (string, error) {
		var out bytes.Buffer
		root := rootCommand(&out, io.Discard)
		flags := []string{
			"--entry", server.Listener.Addr().String(), "--queue-host", "q.example", "--prefix", "/q/", "--key", "k",
		}
		all := append([]string{"cgctl", "job", arguments[0]}, flags...)
		err := root.Run(t.Context(), append(all, arguments[1:]...))
		return out.String(), err
	}
	out, err := run("submit", "--id", "00000000000000aa", "--file", file)
	is.NoErr(err)
	is.Equal(out, "00000000000000aa {\"phase\":\"active\"}\n")
	_, err = run("show", "00000000000000aa")
	is.NoErr(err)
	_, err = run("cancel", "00000000000000aa")
	is.NoErr(err)
	_, err = run("show", "gone")
	is.True(err != nil)
	_, err = run("show")
	is.True(err != nil) // no ID
	is.Equal(seen, []string{
		`POST q.example /q/00000000000000aa Token k {"steps":[]}`,
		`GET q.example /q/00000000000000aa Token k `,
		`DELETE q.example /q/00000000000000aa Token k `,
		`GET q.example /q/gone Token k `,
	})
}

// TestJobExplain checks that the explanation is printed, and that an error status is reported as an error.
func TestJobExplain(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/explain/00000000000000aa" {
			w.WriteHeader(http.StatusGone)
		}
		_, _ = io.WriteString(w, `{"job":"00000000000000aa"}`)
	}))
	defer server.Close()
	run := func(id string) (string, error) {
		var out bytes.Buffer
		err := rootCommand(&out, io.Discard).Run(t.Context(),
			[]string{"cgctl", "job", "explain", "--internal", server.Listener.Addr().String(), id})
		return out.String(), err
	}
	out, err := run("00000000000000aa")
	is.NoErr(err)
	is.Equal(out, "{\n  \"job\": \"00000000000000aa\"\n}\n")
	_, err = run("00000000000000bb")
	is.True(err != nil)
}
