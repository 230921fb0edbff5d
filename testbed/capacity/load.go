package capacity

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/bundle"
)

const (
	// warmUp is the time, in addition to the run time of a request, for which requests are sent before the measurement
	// starts, so that grants have stabilized.
	warmUp         = 4 * time.Second
	requestTimeout = 15 * time.Second
	payloadBytes   = 256
	maxAnswerBytes = 1 << 20
	// noResultCode is the result code under which requests without a valid response are counted.
	noResultCode = "none"
	// progressLag is the number of versions by which the query for a version's confirmation and acceptance times lags
	// behind its rollout.
	progressLag = 3
)

// SampleRollouts measures a window in which a new bundle version is rolled out once per interval.
func (s *Sampler) SampleRollouts(ctx context.Context, operator string, key ed25519.PrivateKey, interval time.Duration) (*Window, error) {
	driver, err := s.newRolloutDriver(ctx, operator, key)
	if err != nil {
		return nil, err
	}
	group, ctx := errgroup.WithContext(ctx)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error { return driver.run(loadCtx, interval) })
	var w *Window
	group.Go(func() error {
		defer stop()
		startVersion := driver.current.Version
		var err error
		w, err = s.Sample(ctx)
		if err != nil {
			return err
		}
		driver.mu.Lock()
		defer driver.mu.Unlock()
		w.Phase, w.Rate = PhaseRollouts, 1/interval.Seconds()
		w.Rollouts, w.AcceptedMS, w.ConfirmedMS = int(driver.committedVersion-startVersion), driver.acceptedMS, driver.confirmedMS
		return nil
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, h := range s.Hosts {
		w.Hosts[i].TakesRollouts = h.Listen == driver.host
	}
	return w, nil
}

// rolloutDriver rolls out new bundle versions through one entry host and records their times.
type rolloutDriver struct {
	admin          *admin.Client
	host           string
	operator       string
	key            ed25519.PrivateKey
	current        *bundle.Bundle
	initialVersion uint64 // current bundle version at the start

	mu               sync.Mutex
	committedVersion uint64
	acceptedMS       []int64
	confirmedMS      []int64
}

func (s *Sampler) newRolloutDriver(ctx context.Context, operator string, key ed25519.PrivateKey) (*rolloutDriver, error) {
	host := s.Hosts[len(s.Hosts)-1].Listen
	client, err := admin.NewClient([]string{host}, operator, key)
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	signed, err := client.Bundle(ctx, 0)
	if err != nil {
		return nil, errors.Wrap(err, "read the current bundle")
	}
	current, err := bundle.VerifySigned(signed, map[string]ed25519.PublicKey{operator: key.Public().(ed25519.PublicKey)})
	if err != nil {
		return nil, errors.Wrap(err, "verify the current bundle")
	}
	return &rolloutDriver{
		admin: client, host: host, operator: operator, key: key,
		current: current, initialVersion: current.Version, committedVersion: current.Version,
	}, nil
}

func (d *rolloutDriver) run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		NextVersion(d.current)
		if _, err := d.admin.Rollout(ctx, bundle.Sign(d.current, d.key, d.operator), d.current); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrapf(err, "roll out version %d", d.current.Version)
		}
		if d.current.Version <= d.initialVersion+progressLag {
			d.recordRollout(admin.RolloutReport{AcceptedMS: -1, ConfirmedMS: -1})
			continue
		}
		report, err := d.admin.RolloutProgress(ctx, d.current.Version-progressLag)
		if err != nil {
			report.AcceptedMS, report.ConfirmedMS = -1, -1
		}
		d.recordRollout(report)
	}
}

// recordRollout counts the current version as committed and records the times in the report on an earlier version. A
// time is negative if it is unknown, for example because a later version was confirmed or accepted instead.
func (d *rolloutDriver) recordRollout(report admin.RolloutReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.committedVersion = d.current.Version
	if report.AcceptedMS >= 0 {
		d.acceptedMS = append(d.acceptedMS, report.AcceptedMS)
	}
	if report.ConfirmedMS >= 0 {
		d.confirmedMS = append(d.confirmedMS, report.ConfirmedMS)
	}
}

// SampleRequests measures a window with the given rate of requests per second over all entry hosts. Each request has
// the given run time.
func (s *Sampler) SampleRequests(ctx context.Context, keys map[string]string, rate float64, runTime time.Duration) (*Window, error) {
	generator := &requestGenerator{hosts: s.Hosts, rate: rate, runMS: runTime.Milliseconds(), queues: s.Size.Pools - 1, resultCounts: make(map[string]int)}
	for _, key := range keys {
		generator.keys = append(generator.keys, key)
	}
	generator.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64}}
	defer generator.client.CloseIdleConnections()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); generator.run(loadCtx) }()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(warmUp + runTime):
	}
	w, err := s.Sample(ctx)
	stop()
	<-done
	if err != nil {
		return nil, err
	}
	w.Phase, w.Rate, w.RunMS, w.ResultCounts = PhaseRequests, rate, generator.runMS, generator.resultCounts
	return w, nil
}

// requestGenerator sends requests at a constant rate, regardless of responses that are still outstanding (an open-loop
// load).
type requestGenerator struct {
	hosts  []Host
	keys   []string
	queues int
	rate   float64
	runMS  int64
	client *http.Client

	mu           sync.Mutex
	resultCounts map[string]int
}

func (g *requestGenerator) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / g.rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		host := g.hosts[n%len(g.hosts)]
		wg.Go(func() {
			code := g.send(host, n%2 == 0)
			g.mu.Lock()
			defer g.mu.Unlock()
			g.resultCounts[code]++
		})
	}
}

// send sends a request and returns its result code. It takes no context, so that requests in flight complete after the
// load has been stopped.
func (g *requestGenerator) send(h Host, idempotent bool) string {
	body, err := json.Marshal(api.Submission{
		Payload: make([]byte, payloadBytes), Idempotent: idempotent, Slots: 1, RunMS: g.runMS,
		DeadlineMS: requestTimeout.Milliseconds(),
	})
	if err != nil {
		return noResultCode
	}
	queue := "queue-" + strconv.Itoa(rand.IntN(g.queues)+1)
	request, err := http.NewRequest(http.MethodPost, "http://"+h.Listen+"/v1/queues/"+queue+"/tasks", bytes.NewReader(body))
	if err != nil {
		return noResultCode
	}
	request.Header.Set("Authorization", "Bearer "+g.keys[rand.IntN(len(g.keys))])
	request.Header.Set("Content-Type", "application/json")
	response, err := g.client.Do(request)
	if err != nil {
		return noResultCode
	}
	defer func() { _ = response.Body.Close() }()
	var answer api.Answer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return noResultCode
	}
	return strconv.Itoa(int(answer.Code))
}
