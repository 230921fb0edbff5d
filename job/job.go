// Package job defines jobs, which consist of steps of identical tasks, and their recorded progress. It contains the
// types and their stored encoding, but no scheduling logic.
package job

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ID identifies a job. The client chooses it: 16 hexadecimal digits.
type ID string

// idLength is the number of hexadecimal digits in an ID.
const idLength = 16

// ErrBadID is returned for an ID that is not 16 hexadecimal digits.
var ErrBadID = errors.New("job ID is not 16 hexadecimal digits")

// IDDigits are the digits of IDs, in ascending order.
const IDDigits = "0123456789ABCDEFabcdef"

// ParseID parses text as an ID.
func ParseID(text string) (ID, error) {
	if len(text) != idLength {
		return "", ErrBadID
	}
	if _, err := hex.DecodeString(text); err != nil {
		return "", ErrBadID
	}
	return ID(text), nil
}

// Resources is an amount of capacity: of an upstream, of a team's cap, or as requested by a task.
type Resources struct {
	MilliCPU int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.GPU + other.GPU}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.GPU - other.GPU}
}

// Fits reports whether r is at most available in each dimension.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// Step is a set of identical tasks.
type Step struct {
	Count            int           `cbor:"1,keyasint"`
	Request          Resources     `cbor:"2,keyasint"` // of one task
	Estimate         time.Duration `cbor:"3,keyasint,omitempty"`
	After            []int         `cbor:"4,keyasint,omitempty"` // earlier steps that must be done before this one starts
	Image            string        `cbor:"5,keyasint,omitempty"`
	Label            string        `cbor:"6,keyasint,omitempty"` // only upstreams with this label may run the tasks
	Rack             string        `cbor:"7,keyasint,omitempty"` // rack that holds the tasks' data
	MaxPerUpstream   int           `cbor:"8,keyasint,omitempty"` // most tasks of one occurrence per upstream; 0: unlimited
	TailLatencyLimit time.Duration `cbor:"9,keyasint,omitempty"` // bound on the tail latency of a serving task

	Checkpoints bool `cbor:"10,keyasint,omitempty"`
	Gang        bool `cbor:"11,keyasint,omitempty"` // the tasks can only run all at the same time
	SameRack    bool `cbor:"12,keyasint,omitempty"`
	Speculative bool `cbor:"13,keyasint,omitempty"` // duplicates of a task may run in parallel
	LongRunning bool `cbor:"14,keyasint,omitempty"` // runs until the job is cancelled
	// BestEffort is set for best-effort tasks, which use only processor time that is idle otherwise. Their processor
	// request does not count against an upstream's capacity.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be down at a time by planned actions; 0: unlimited.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// ReservedResources returns the part of an upstream's capacity that one task of the step takes.
func (s Step) ReservedResources() Resources {
	reserved := s.Request
	if s.BestEffort {
		reserved.MilliCPU = 0
	}
	return reserved
}

// Queue is a copy of the settings of the queue to which a job was submitted. While the queue exists, its settings in
// the newest bundle replace the copy.
type Queue struct {
	Name          string        `cbor:"1,keyasint"`
	Pool          string        `cbor:"2,keyasint"`
	Priority      int           `cbor:"3,keyasint,omitempty"` // 0 is the most urgent
	MaxAttempts   int           `cbor:"4,keyasint,omitempty"`
	LatencyFactor float64       `cbor:"5,keyasint,omitempty"` // latency objective per expected run time; at least 1
	TargetLatency time.Duration `cbor:"6,keyasint,omitempty"` // added to the latency objective
	NeedsAdvice   bool          `cbor:"7,keyasint,omitempty"` // its steps may run only where the advice service allows
}

// Job is a job as submitted. It is immutable.
type Job struct {
	ID         ID            `cbor:"1,keyasint"`
	Team       string        `cbor:"2,keyasint"`
	Queue      Queue         `cbor:"3,keyasint"`
	Spec       string        `cbor:"4,keyasint,omitempty"`
	Steps      []Step        `cbor:"5,keyasint"`
	Repeat     int           `cbor:"6,keyasint,omitempty"` // number of occurrences; 0: a single one without a start time
	StartMS    int64         `cbor:"7,keyasint,omitempty"` // start time of occurrence 0, Unix milliseconds
	Interval   time.Duration `cbor:"8,keyasint,omitempty"`
	AcceptedMS int64         `cbor:"9,keyasint"` // Unix milliseconds by the clock of the host that accepted it
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for _, step := range j.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's ID as sent to upstreams: ID.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	buffer := make([]byte, 0, 32)
	buffer = append(buffer, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		buffer = append(buffer, '.')
		buffer = strconv.AppendInt(buffer, int64(n), 10)
	}
	return string(buffer)
}

// ErrBadTaskID is returned for a text that is not a task ID.
var ErrBadTaskID = errors.New("not a task ID of the form ID.OCCURRENCE.STEP.INDEX")

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, ErrBadTaskID
	}
	id, err := ParseID(parts[0])
	if err != nil {
		return TaskID{}, ErrBadTaskID
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, ErrBadTaskID
		}
		numbers[i] = n
	}
	return TaskID{Job: id, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Check returns an error if the job is malformed or exceeds a limit, so that no fleet could run it.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return errors.Errorf("spec has %d bytes; the maximum is %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return errors.Errorf("job has %d steps; it must have 1 to %d", len(j.Steps), MaxSteps)
	case j.Repeat < 0 || j.Repeat > MaxOccurrences:
		return errors.Errorf("repeat is %d; it must be 0 to %d", j.Repeat, MaxOccurrences)
	case j.StartMS < 0 || j.Interval < 0:
		return errors.New("start time or interval is negative")
	}
	tasks := 0
	for i, step := range j.Steps {
		if err := step.check(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
		tasks += step.Count * j.Occurrences()
	}
	if tasks > MaxTasks {
		return errors.Errorf("job has %d tasks over all occurrences; the maximum is %d", tasks, MaxTasks)
	}
	return nil
}

func (s Step) check(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return errors.Errorf("count is %d; it must be 1 to %d", s.Count, MaxTasks)
	case s.Request.MilliCPU < 0 || s.Request.MemoryMB < 0 || s.Request.GPU < 0:
		return errors.New("requested processor time, memory or GPU count is negative")
	case s.Estimate < 0 || s.TailLatencyLimit < 0 || s.MaxPerUpstream < 0 || s.MaxUnavailable < 0:
		return errors.New("estimate, tail latency limit, limit per upstream or number of tasks that may be unavailable is negative")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return errors.Errorf("depends on step %d, which is not an earlier step", earlier)
		}
	}
	return nil
}
