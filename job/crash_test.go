package job_test

import (
	"testing"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/codec"
	"citrongauge.example/citrongauge/job"
)

// earlierCrash is a TaskCrash of the versions that know no evidence.
type earlierCrash struct {
	Index     int    `cbor:"1,keyasint,omitempty"`
	Attempt   uint64 `cbor:"2,keyasint,omitempty"`
	Alone     bool   `cbor:"3,keyasint,omitempty"`
	Unseen    bool   `cbor:"4,keyasint,omitempty"`
	Unstarted bool   `cbor:"5,keyasint,omitempty"`
	Unproved  bool   `cbor:"6,keyasint,omitempty"`
}

// Guards against a job that a host of an earlier version can't read, and does not run, during a rollout (LOST): its progress has a field
// that this version does not know.
func TestCrashIsReadByEarlierVersions(t *testing.T) {
	decMode := codec.DecMode(codec.Limits{MaxNestedLevels: 16, MaxArrayElements: 100, MaxMapPairs: 100})
	for _, crash := range []job.TaskCrash{
		{Index: 1, Attempt: 2, Alone: true, Unproved: true, Unstarted: true},
		{Index: 1, Attempt: 2, Evident: true},
		{Index: 1, Attempt: 2},
		{Index: 1, Attempt: 2, Unseen: true},
	} {
		is := is.New(t)
		data, err := job.Encode(crash)
		is.NoErr(err)
		var earlier earlierCrash
		is.NoErr(decMode.Unmarshal(data, &earlier))
		is.Equal(earlier.Attempt, crash.Attempt)
		var read job.TaskCrash
		is.NoErr(job.Decode(data, &read))
		is.Equal(read, crash)
	}
}
