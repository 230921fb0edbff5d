package capacity

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// clockTicks is the unit of processor times in /proc/PID/stat, per second. It is 100 on every Linux system.
	clockTicks = 100
	// statUser and statSystem are the positions of the processor times after the command name in /proc/PID/stat.
	statUser, statSystem = 11, 12
	maxMetricsBytes      = 16 << 20
)

// usage is what the kernel knows about a process.
type usage struct {
	at       time.Time
	cpu      float64 // seconds
	written  float64 // bytes of all write calls: sockets and log
	read     float64
	logBytes float64
	rss      float64
	anon     float64
	peak     float64
}

func readUsage(h Host) (usage, error) {
	u := usage{at: time.Now()}
	dir := "/proc/" + strconv.Itoa(h.PID) + "/"
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, errors.Wrap(err, "read the processor time")
	}
	if u.cpu, err = processorSeconds(string(stat)); err != nil {
		return u, err
	}
	io, err := readColons(dir + "io")
	if err != nil {
		return u, err
	}
	u.written, u.read = io["wchar"], io["rchar"]
	status, err := readColons(dir + "status")
	if err != nil {
		return u, err
	}
	const kB = 1024
	u.rss, u.anon, u.peak = status["VmRSS"]*kB, status["RssAnon"]*kB, status["VmHWM"]*kB
	info, err := os.Stat(h.Log)
	if err != nil {
		return u, errors.Wrap(err, "size of the log")
	}
	u.logBytes = float64(info.Size())
	return u, nil
}

// processorSeconds reads the text of /proc/PID/stat. The command name may hold spaces and brackets.
func processorSeconds(stat string) (float64, error) {
	_, rest, ok := cutLast(stat, ")")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statSystem {
		return 0, errors.New("stat: too few fields")
	}
	user, err := strconv.ParseUint(fields[statUser], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "stat: user time")
	}
	system, err := strconv.ParseUint(fields[statSystem], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "stat: system time")
	}
	return float64(user+system) / clockTicks, nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// readColons reads lines "name: number unit". Lines without a number are left out.
func readColons(path string) (map[string]float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the counters of a process")
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if len(fields) == 0 {
			continue
		}
		if number, err := strconv.ParseFloat(fields[0], 64); err == nil {
			values[name] = number
		}
	}
	return values, nil
}

// scrapeClient opens a connection for each call, so that none is left open at the daemons.
var scrapeClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// metricsAt are a daemon's metrics with the labels summed up.
type metricsAt struct {
	at     time.Time
	values map[string]float64
}

func scrape(ctx context.Context, address string) (metricsAt, error) {
	body, err := get(ctx, "http://"+address+"/metrics")
	if err != nil {
		return metricsAt{}, err
	}
	return metricsAt{at: time.Now(), values: parseMetrics(body)}, nil
}

func get(ctx context.Context, target string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	response, err := scrapeClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d", target, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
}

// parseMetrics reads the text form of metrics and adds up the values of all labels.
func parseMetrics(text []byte) map[string]float64 {
	values := make(map[string]float64)
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		name, value, ok := cutLast(line, " ")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ = strings.Cut(name, "{")
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] += number
		}
	}
	return values
}
