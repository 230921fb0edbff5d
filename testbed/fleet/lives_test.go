package fleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/testbed/fleet"
)

// The tests in this file guard against a stand-in that hides faults of the code that it is to show.

const upstreamID = "i-1-1"

// lifeCallTimeout is longer than any answer of an upstream that is up.
const lifeCallTimeout = 500 * time.Millisecond

// answer is the response to a call of an upstream.
type answer struct {
	Status   int             `json:"-"`
	ClockMS  int64           `json:"clock_ms"`
	Reason   string          `json:"reason"`
	Born     int64           `json:"born"`
	Running  json.RawMessage `json:"running"`
	Finished json.RawMessage `json:"finished"`
}

// call calls an upstream. Each client has its own connections.
func call(client *http.Client, address, name, body string) (answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/-/"+name, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("X-Expected-Instance", upstreamID)
	response, err := client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	a := answer{Status: response.StatusCode}
	return a, json.Unmarshal(data, &a)
}

func newClient() *http.Client {
	return &http.Client{Timeout: lifeCallTimeout, Transport: &http.Transport{}}
}

// startOne starts one proxied upstream.
func startOne(t *testing.T, seed uint64) (*fleet.Fleet, *fleet.Upstream) {
	f, err := fleet.New(fleet.Options{Zones: 1, UpstreamsPerZone: 1, TaskDuration: 20 * time.Millisecond, TeamKey: teamKey, ProxyUpstreams: true, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, f.Upstreams[0]
}

func start(clockMS int64, token int) string {
	return fmt.Sprintf(`{"task":"0000000000000001.0.0.0","attempt":1,"spec":"s","deadline_ms":%d,"fencing_token":%d}`, clockMS+5000, token)
}

// TestNewLifeKnowsNothing checks that an upstream that starts again under its ID has a new clock, numbers its ends from 1, has
// seen no fencing token, and carries out a start that its earlier life has carried out.
func TestNewLifeKnowsNothing(t *testing.T) {
	is := is.New(t)
	_, u := startOne(t, 1)
	var clocks, borns []int64
	for life := range 4 {
		before, err := call(newClient(), u.Address, "hold", `{}`)
		is.NoErr(err)
		is.Equal(string(before.Running)+string(before.Finished), "[][]")
		_, err = call(newClient(), u.Address, "run-start", start(before.ClockMS, 9-life))
		is.NoErr(err)
		time.Sleep(60 * time.Millisecond)
		after, err := call(newClient(), u.Address, "hold", fmt.Sprintf(`{"fencing_token":%d}`, 9-life))
		is.NoErr(err)
		is.Equal(string(after.Finished), `[[1,"0000000000000001.0.0.0",1,"done",""]]`)
		clocks, borns = append(clocks, before.ClockMS), append(borns, before.Born)
		u.Crash()
		u.Start(u.Born().Add(-time.Second))
	}
	for life := 1; life < 4; life++ {
		is.Equal(borns[life], borns[life-1]-1000)
	}
	t.Logf("clocks %v", clocks)
	is.True(clocks[0] > clocks[1] || clocks[1] > clocks[2] || clocks[2] > clocks[3]) // they do not go on from life to life
}

// TestClocksDependOnTheSeed checks that the first clocks of two fleets agree if, and only if, their seeds do.
func TestClocksDependOnTheSeed(t *testing.T) {
	is := is.New(t)
	clock := func(seed uint64) int64 {
		_, u := startOne(t, seed)
		a, err := call(newClient(), u.Address, "hold", `{}`)
		is.NoErr(err)
		return a.ClockMS / 1000
	}
	first := clock(1)
	is.True(clock(1)-first <= 1)
	is.True(clock(2) != first)
}

// TestUpstreamThatIsDownAnswersNothing checks that a call in flight ends with the crash, and that no call is answered before the
// next life.
func TestUpstreamThatIsDownAnswersNothing(t *testing.T) {
	is := is.New(t)
	_, u := startOne(t, 1)
	time.AfterFunc(50*time.Millisecond, u.Crash)
	begin := time.Now()
	_, err := call(newClient(), u.Address, "hold", `{"wait_ms":400}`)
	is.True(err != nil && time.Since(begin) < 300*time.Millisecond)
	_, err = call(newClient(), u.Address, "hold", `{}`)
	is.True(err != nil)
	u.Start(time.Now())
	_, err = call(newClient(), u.Address, "hold", `{}`)
	is.NoErr(err)
}

// TestSilentCutHidesACrash checks that a poll in flight is neither reset nor answered when its upstream crashes behind a cut and
// starts again, that old connections stay silent or are reset after the cut, and that new ones work at once.
func TestSilentCutHidesACrash(t *testing.T) {
	for _, resetOnUse := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset on use %v", resetOnUse), func(t *testing.T) {
			is := is.New(t)
			f, u := startOne(t, 1)
			idle, polling := newClient(), newClient()
			_, err := call(idle, u.Address, "hold", `{}`)
			is.NoErr(err)
			polled := make(chan error, 1)
			begin := time.Now()
			go func() {
				_, err := call(polling, u.Address, "hold", `{"wait_ms":400}`)
				polled <- err
			}()
			time.Sleep(50 * time.Millisecond)
			f.Proxies[0].SetFault(fleet.ProxyFault{StallToTarget: true, StallFromTarget: true})
			f.Proxies[0].Silence(resetOnUse)
			u.Crash()
			u.Start(time.Now())
			time.Sleep(100 * time.Millisecond)
			f.Proxies[0].SetFault(fleet.ProxyFault{})
			_, err = call(newClient(), u.Address, "hold", `{}`)
			is.NoErr(err) // a new connection
			is.True(<-polled != nil)
			is.True(time.Since(begin) >= lifeCallTimeout) // not reset
			begin = time.Now()
			_, err = call(idle, u.Address, "run-stop", `{}`)
			is.Equal(err == nil || time.Since(begin) < lifeCallTimeout, resetOnUse) // the transport may have called again
		})
	}
}

// TestEntryComesLaterThanTheLife checks that the store has the entry of the earlier life until the delay has passed, and that a life
// that ends before that is never registered.
func TestEntryComesLaterThanTheLife(t *testing.T) {
	is := is.New(t)
	f, u := startOne(t, 1)
	first := f.Store.Value("servers/" + upstreamID)
	u.Crash()
	u.Start(time.Now().Add(time.Second))
	f.RegisterAfter(u, 50*time.Millisecond)
	is.True(bytes.Equal(f.Store.Value("servers/"+upstreamID), first))
	u.Crash()
	u.Start(time.Now().Add(2 * time.Second))
	f.RegisterAfter(u, 150*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	is.True(bytes.Equal(f.Store.Value("servers/"+upstreamID), first))
	time.Sleep(100 * time.Millisecond)
	is.True(bytes.Equal(f.Store.Value("servers/"+upstreamID), u.StoreEntry()))
}
