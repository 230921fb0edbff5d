package daemon

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/bundle"
)

func validSettings() string {
	return `{
	// comment
	"zone": "a", "listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "platform": "127.0.0.1:3",
	"secret_file": "s", "operators": [{"name": "o", "public_key": "` + bundle.FormatPublicKey(make([]byte, 32)) + `"}],
}`
}

// TestParseSettings guards against misread settings: missing defaults, and acceptance of unknown fields, of host names
// in place of IP addresses, and of bad keys.
func TestParseSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings([]byte(validSettings()))
	is.NoErr(err)
	is.Equal(s.PeerAddress, "127.0.0.1:2")
	is.Equal(s.ShutdownTimeoutMS, defaultShutdown.Milliseconds())
	for _, change := range [][2]string{
		{`"zone": "a"`, `"zone": ""`},
		{`"zone"`, `"zones"`},
		{`127.0.0.1:1`, `localhost:1`},
		{`127.0.0.1:2`, `127.0.0.1`},
		{`"platform": "127.0.0.1:3"`, `"platform": ""`},
		{`"name": "o"`, `"name": ""`},
		{`"public_key": "`, `"public_key": "x`},
		{`"secret_file": "s"`, `"secret_file": "s", "shutdown_ms": -1`},
	} {
		bad := strings.Replace(validSettings(), change[0], change[1], 1)
		_, err := ParseSettings([]byte(bad))
		if err == nil {
			t.Errorf("accepted with %s", change[1])
		}
	}
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(validSettings()))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings(data)
		if err == nil && (s.Zone == "" || len(s.Operators) == 0) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
