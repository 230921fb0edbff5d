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
	// clockTicksPerSecond is the frequency of the clock ticks in which /proc/PID/stat reports CPU times (USER_HZ). It
	// is 100 on every Linux system.
	clockTicksPerSecond = 100
	// statUserIndex and statSystemIndex are the indexes of the CPU times in /proc/PID/stat, counted from the field
	// after the command name.
	statUserIndex, statSystemIndex = 11, 12
	maxMetricsBytes                = 16 << 20
)

// processUsage is the resource usage of a process and the size of its log at a point in time.
type processUsage struct {
	at           time.Time
	cpuSeconds   float64
	writtenBytes float64 // by all write calls, including sockets and the log
	readBytes    float64
	logBytes     float64
	rssBytes     float64
	anonBytes    float64
	peakRSSBytes float64
}

func readUsage(h Host) (processUsage, error) {
	u := processUsage{at: time.Now()}
	dir := "/proc/" + strconv.Itoa(h.PID) + "/"
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, errors.Wrap(err, "read the CPU time")
	}
	if u.cpuSeconds, err = parseCPUSeconds(string(stat)); err != nil {
		return u, err
	}
	ioFields, err := readProcFields(dir + "io")
	if err != nil {
		return u, err
	}
	u.writtenBytes, u.readBytes = ioFields["wchar"], ioFields["rchar"]
	statusFields, err := readProcFields(dir + "status")
	if err != nil {
		return u, err
	}
	const kB = 1024
	u.rssBytes, u.anonBytes, u.peakRSSBytes = statusFields["VmRSS"]*kB, statusFields["RssAnon"]*kB, statusFields["VmHWM"]*kB
	info, err := os.Stat(h.Log)
	if err != nil {
		return u, errors.Wrap(err, "read the size of the log")
	}
	u.logBytes = float64(info.Size())
	return u, nil
}

// parseCPUSeconds returns the user and system CPU time in /proc/PID/stat. The command name in it may contain spaces and
// parentheses.
func parseCPUSeconds(stat string) (float64, error) {
	_, rest, ok := cutLast(stat, ")")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statSystemIndex {
		return 0, errors.New("/proc/PID/stat has too few fields")
	}
	user, err := strconv.ParseUint(fields[statUserIndex], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse the user CPU time")
	}
	system, err := strconv.ParseUint(fields[statSystemIndex], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse the system CPU time")
	}
	return float64(user+system) / clockTicksPerSecond, nil
}

// cutLast is like strings.Cut, but slices s around the last instance of sep.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// readProcFields reads a file with lines of the form "name: number unit". Lines without a number are skipped.
func readProcFields(path string) (map[string]float64, error) {
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

// scrapeClient opens a new connection for each request, so that it keeps no idle connections to the daemons.
var scrapeClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// metricsSnapshot holds the metrics of a daemon at a point in time, summed over their labels.
type metricsSnapshot struct {
	at     time.Time
	values map[string]float64
}

func scrape(ctx context.Context, address string) (metricsSnapshot, error) {
	body, err := fetch(ctx, "http://"+address+"/metrics")
	if err != nil {
		return metricsSnapshot{}, err
	}
	return metricsSnapshot{at: time.Now(), values: parseMetrics(body)}, nil
}

func fetch(ctx context.Context, target string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	response, err := scrapeClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: unexpected status %d", target, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
}

// parseMetrics parses metrics in the Prometheus text format and sums the series of each name over their labels.
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
