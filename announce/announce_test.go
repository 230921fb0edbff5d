package announce

import (
	"testing"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
)

// Guards against an announcement with a job that no client could have submitted.
func TestAnnouncedJobsAreChecked(t *testing.T) {
	is := is.New(t)
	valid := job.Job{ID: "0123456789abcdef", Steps: []job.Step{{Count: 1}}}
	for _, invalid := range []job.Job{
		{ID: "x", Steps: valid.Steps},
		{ID: valid.ID},
		{ID: valid.ID, Steps: []job.Step{{Count: 1, After: []int{0}}}},
		{ID: valid.ID, Steps: []job.Step{{Count: -1}}},
	} {
		data, err := encMode.Marshal(Message{Job: &invalid})
		is.NoErr(err)
		_, err = decodeMessage(data)
		is.True(err != nil)
	}
	data, err := encMode.Marshal(Message{Job: &valid, Created: 5})
	is.NoErr(err)
	message, err := decodeMessage(data)
	is.NoErr(err)
	is.Equal(message.Created, uint64(5))
}

// FuzzMessage checks that no message from another host causes a panic, and that a job which passes is valid.
func FuzzMessage(f *testing.F) {
	data, err := encMode.Marshal(Message{Job: &job.Job{ID: "0123456789abcdef", Steps: []job.Step{{Count: 2}}}, Created: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decodeMessage(data)
		if err == nil && message.Job != nil && message.Job.Check() != nil {
			t.Fatal("invalid job accepted")
		}
	})
}
