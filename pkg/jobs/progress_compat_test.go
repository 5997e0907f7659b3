package jobs

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Progress of a task as an earlier version stores it.
type earlierProgress struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	State           State
	Began           bool
	FinalMS         int64
	Created         int
	Open            []int
	DoneOccurrences int
	Done            []DoneSet
	Notes           []earlierTaskProgress
	Reason          string
}

type earlierTaskProgress struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Occurrence int
	Step       int
	Index      int
	Failed     []int64
	Checkpoint string
	Crashes    []CrashNote
	On         string
}

// earlierExtension is what versions before doubtful crashes store after the progress.
type earlierExtension struct {
	Tasks []taskExtension
}

// TestProgressIsReadByBothVersions guards against an entry of the version before, or of this one, that cannot read
// the progress that the other has stored while both run side by side.
func TestProgressIsReadByBothVersions(t *testing.T) {
	crashes := []CrashNote{{VM: "w1", Born: 5, AgeMS: 300, Percent: 70}, {VM: "w4", Unconfirmed: true}, {VM: "w5", Lapsed: true}}
	data, err := EncodeProgress(&Progress{State: Running, Began: true, Created: 1, Open: []int{0}, Reason: "r", Notes: []TaskProgress{
		{Index: 1, Failed: []int64{2}, Checkpoint: "c", Crashes: crashes, On: "w2", StartedMS: 7, Cleared: 3},
		{Index: 2, On: "w3", StartedMS: 8},
	}})
	assert.NilError(t, err)
	earlier, err := Decode[earlierProgress](data)
	assert.NilError(t, err)
	assert.Equal(t, earlier.Reason, "r")
	assert.Equal(t, len(earlier.Notes), 2)
	n := earlier.Notes[0]
	assert.Equal(t, fmt.Sprintf("%d %d %s %d %s", n.Index, n.Failed, n.Checkpoint, n.Crashes[0].AgeMS, n.On), "1 [2] c 300 w2")
	assert.Equal(t, earlier.Notes[1].On, "w3")
	p, err := DecodeProgress(data)
	assert.NilError(t, err)
	assert.Equal(t, p.Notes[0].StartedMS, int64(7))
	assert.Equal(t, p.Notes[0].Cleared, 3)
	assert.Equal(t, p.Notes[1].StartedMS, int64(8))
	assert.Equal(t, fmt.Sprintf("%t %t %t %t", p.Notes[0].Crashes[0].Unconfirmed, p.Notes[0].Crashes[1].Unconfirmed, p.Notes[0].Crashes[1].Lapsed, p.Notes[0].Crashes[2].Lapsed), "false true false true")
	var x earlierExtension
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	assert.NilError(t, dec.Skip())
	assert.NilError(t, dec.Decode(&x))
	assert.Equal(t, len(x.Tasks), 2)
	data, err = Encode(earlier)
	assert.NilError(t, err)
	p, err = DecodeProgress(data)
	assert.NilError(t, err)
	assert.Equal(t, p.Reason, "r")
	assert.Equal(t, len(p.Notes), 2)
	assert.Equal(t, fmt.Sprintf("%d %d %d %s %d", p.Notes[0].Index, p.Notes[0].Failed, p.Notes[0].Crashes[0].AgeMS, p.Notes[0].On, p.Notes[0].Cleared), "1 [2] 300 w2 0")
}
