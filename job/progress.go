package job

import (
	"math/bits"
	"slices"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/codec"
)

// Phase is a job's state as reported to clients.
type Phase uint8

// The values of Phase.
const (
	Queued Phase = iota
	Active
	Succeeded
	Failed
	Cancelled
)

// Terminal reports whether the phase is final.
func (p Phase) Terminal() bool { return p >= Succeeded }

// String returns the phase's name, for logs and metrics.
func (p Phase) String() string {
	switch p {
	case Queued:
		return "queued"
	case Active:
		return "active"
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Part identifies one step of one occurrence of a job.
type Part struct {
	Occurrence int
	Step       int
}

// Progress is the recorded state of a job's execution. The owner of the fleet stores it before it acknowledges to
// an upstream the ends of the runs that it covers: the upstream discards acknowledged ends.
type Progress struct {
	Phase   Phase          `cbor:"1,keyasint"`
	EndedMS int64          `cbor:"2,keyasint,omitempty"` // when Phase became terminal, Unix milliseconds
	Parts   []PartProgress `cbor:"3,keyasint,omitempty"`
	// Finished is a bitmap of the parts that are done and not in Parts, by occurrence times the number of steps plus step. It is used where
	// Parts would be too long; earlier versions cannot read such a record.
	Finished []byte `cbor:"4,keyasint,omitempty"`
}

// Bounds of the encoded size in bytes of parts of a record.
const (
	maxPartSize    = 48 // without its lists
	maxFailureSize = 24
	maxCrashSize   = 32
	maxIndexSize   = 5 // of a placement
)

// MaxSize returns a bound of the record's encoded size in bytes.
func (p *Progress) MaxSize() int {
	size := maxPartSize + len(p.Finished)
	for i := range p.Parts {
		part := &p.Parts[i]
		size += maxPartSize + len(part.Done) + maxFailureSize*len(part.Failures) + maxCrashSize*len(part.Crashes) + maxIndexSize*len(part.Placements)
		for _, upstream := range part.Upstreams {
			size += maxIndexSize + len(upstream)
		}
	}
	return size
}

// IsFinished reports whether the part with the number is in Finished.
func (p *Progress) IsFinished(number int) bool { return hasBit(p.Finished, number) }

// SetFinished adds the part with the number to Finished.
func (p *Progress) SetFinished(number int) { p.Finished = withBit(p.Finished, number) }

// PartProgress is the progress of one step of one occurrence.
type PartProgress struct {
	Occurrence int           `cbor:"1,keyasint,omitempty"`
	Step       int           `cbor:"2,keyasint,omitempty"`
	Done       []byte        `cbor:"3,keyasint,omitempty"` // bitmap by task index
	Failures   []TaskFailure `cbor:"4,keyasint,omitempty"`
	// Upstreams are the upstreams to which Placements refers. Placements gives for each task the upstream on which it
	// was last started, as its index in Upstreams plus 1, or 0 for none. The placement is stored before the task is
	// started there, so that a later owner knows which tasks may be running on an upstream that it cannot reach.
	// Tasks that are done have no placement. Upstreams that follow boundMark are those of bound placements (SetPlacements).
	Upstreams  []string `cbor:"5,keyasint,omitempty"`
	Placements []uint32 `cbor:"6,keyasint,omitempty"`
	// Crashes are the losses of upstreams that are counted against tasks.
	Crashes []TaskCrash `cbor:"7,keyasint,omitempty"`
}

// RecordPlacement records upstream as the upstream on which the task at index was last started.
func (p *PartProgress) RecordPlacement(index int, upstream string) {
	number := slices.Index(p.Upstreams, upstream)
	if number < 0 {
		number = len(p.Upstreams)
		p.Upstreams = append(p.Upstreams, upstream)
	}
	p.place(index, number)
}

// boundMark precedes the upstreams of bound placements. Earlier versions, which reject records with fields that they do not know, read
// these like any other and ignore the mark, to which no placement refers.
const boundMark = ""

// SetPlacements records where the tasks of a part were started last. placementOf returns the upstream of a task, or "" if there is none, and
// whether its start was sent so that only the life of the upstream which the owner knew could receive it.
func (p *PartProgress) SetPlacements(tasks int, placementOf func(index int) (upstream string, bound bool)) {
	p.Upstreams, p.Placements = nil, nil
	for _, bound := range []bool{false, true} {
		numbers := map[string]int{}
		for index := range tasks {
			upstream, isBound := placementOf(index)
			if upstream == "" || isBound != bound {
				continue
			}
			if bound && len(numbers) == 0 {
				p.Upstreams = append(p.Upstreams, boundMark)
			}
			number, known := numbers[upstream]
			if !known {
				number = len(p.Upstreams)
				numbers[upstream] = number
				p.Upstreams = append(p.Upstreams, upstream)
			}
			p.place(index, number)
		}
	}
}

// place sets the placement of a task to the upstream at the given index of Upstreams.
func (p *PartProgress) place(index, upstream int) {
	for index >= len(p.Placements) {
		p.Placements = append(p.Placements, 0)
	}
	p.Placements[index] = uint32(upstream) + 1
}

// BoundPlacements returns a function that reports whether the placement of the task at index is bound.
func (p *PartProgress) BoundPlacements() func(index int) bool {
	mark := slices.Index(p.Upstreams, boundMark)
	return func(index int) bool {
		return mark >= 0 && index < len(p.Placements) && int(p.Placements[index]) > mark+1
	}
}

// PlacementOf returns the upstream on which the task at index was last started, or "" if there is none.
func (p *PartProgress) PlacementOf(index int) string {
	if index >= len(p.Placements) || p.Placements[index] == 0 || int(p.Placements[index]) > len(p.Upstreams) {
		return ""
	}
	return p.Upstreams[p.Placements[index]-1]
}

// TaskFailure is one failed attempt of a task. The attempt's number keeps a failure from being counted twice if the
// upstream reports it again to a later owner.
type TaskFailure struct {
	Index   int    `cbor:"1,keyasint,omitempty"`
	Attempt uint64 `cbor:"2,keyasint,omitempty"`
}

// TaskCrash is the loss of an upstream that may have been caused by an attempt of a task.
type TaskCrash struct {
	Index   int    `cbor:"1,keyasint,omitempty"`
	Attempt uint64 `cbor:"2,keyasint,omitempty"`
	Alone   bool   `cbor:"3,keyasint,omitempty"` // no other run could have caused it
	Unseen  bool   `cbor:"4,keyasint,omitempty"` // no owner followed the attempt when it happened
	// Unstarted is set while the task has not been started again.
	Unstarted bool `cbor:"5,keyasint,omitempty"`
	// Unproved is set unless the upstream crashed, without a cause in common with others.
	Unproved bool `cbor:"6,keyasint,omitempty"`
	// Evident is set if the upstream had lived on before the attempt, and crashed at once when it was started.
	Evident bool `cbor:"-"`
}

// storedCrash is the stored form of a TaskCrash. Earlier versions reject records with fields that they do not know. So a crash that was
// judged and is no evidence is stored as unseen and unproved, which none is otherwise; evidence that is not judged yet is not stored.
type storedCrash TaskCrash

// MarshalCBOR implements cbor.Marshaler.
func (t TaskCrash) MarshalCBOR() ([]byte, error) {
	stored := storedCrash(t)
	if !t.Unseen && !t.Unproved && !t.Evident {
		stored.Unseen, stored.Unproved = true, true
	}
	return encMode.Marshal(stored)
}

// UnmarshalCBOR implements cbor.Unmarshaler. A crash that an earlier version has judged counts as evidence, as it did there.
func (t *TaskCrash) UnmarshalCBOR(data []byte) error {
	var stored storedCrash
	if err := decMode.Unmarshal(data, &stored); err != nil {
		return err
	}
	*t = TaskCrash(stored)
	t.Evident = !t.Unseen && !t.Unproved
	if t.Unseen && t.Unproved {
		t.Unseen, t.Unproved = false, false
	}
	return nil
}

// IsDone reports whether the task at index is done.
func (p *PartProgress) IsDone(index int) bool { return hasBit(p.Done, index) }

// SetDone records that the task at index is done.
func (p *PartProgress) SetDone(index int) { p.Done = withBit(p.Done, index) }

// CountDone returns the number of tasks that are done.
func (p *PartProgress) CountDone() int {
	n := 0
	for _, b := range p.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

// AllDone returns the Done of a part whose tasks, of the given number, are all done.
func AllDone(tasks int) []byte {
	var done []byte
	for index := range tasks {
		done = withBit(done, index)
	}
	return done
}

func hasBit(bitmap []byte, index int) bool {
	return index/8 < len(bitmap) && bitmap[index/8]&(1<<(index%8)) != 0
}

// withBit returns the bitmap with a bit set, which it changes.
func withBit(bitmap []byte, index int) []byte {
	for index/8 >= len(bitmap) {
		bitmap = append(bitmap, 0)
	}
	bitmap[index/8] |= 1 << (index % 8)
	return bitmap
}

// ErrBadRecord is returned for a stored record that cannot be decoded.
var ErrBadRecord = errors.New("unreadable record")

// Limits of a job. A submission that exceeds them is rejected.
const (
	MaxSteps       = 256
	MaxTasks       = 100_000
	MaxSpecBytes   = 4000
	MaxOccurrences = 10_000
)

var (
	decMode = codec.DecMode(codec.Limits{MaxNestedLevels: 16, MaxArrayElements: MaxTasks + 16, MaxMapPairs: 1024})
	encMode = codec.EncMode()
)

// Encode returns the stored form of a record, such as a Job or Progress.
func Encode(record any) ([]byte, error) {
	data, err := encMode.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return data, nil
}

// Decode decodes the stored form into record, which is a pointer. It returns ErrBadRecord if it cannot.
func Decode(data []byte, record any) error {
	if err := decMode.Unmarshal(data, record); err != nil {
		return errors.Wrapf(ErrBadRecord, "%v", err)
	}
	return nil
}
