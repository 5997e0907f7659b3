package jobs

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseFile guards against fields of a job file that are ignored or converted wrongly,
// such as cores to thousandths of a core.
func TestParseFile(t *testing.T) {
	j, err := ParseFile("job.jsonc", []byte(`{
	// two steps
	"queue": "cue-match", "spec": "x",
	"steps": [{"tasks": 2, "cores": 1.5, "estimate-ms": 900}, {"tasks": 1, "cores": 0.5, "after": [0], "checkpoints": true}]
}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, j, &Job{
		Queue: "cue-match", Spec: "x", MaxAttempts: 1,
		Steps: []Step{{Count: 2, CPU: 1500, EstimateMS: 900}, {Count: 1, CPU: 500, After: []int{0}, Saves: true}},
	})
}

// TestParseFileErrors guards against invalid job files that are accepted, and against errors
// that do not name the line or the field.
func TestParseFileErrors(t *testing.T) {
	tests := []struct{ name, text, wantErr string }{
		{"no queue", `{"steps": [{"tasks": 1}]}`, "queue is required"},
		{"unknown field", "{\n\"queue\": \"q\",\n\"cores\": 1}", "job.jsonc:3"},
		{"no steps", `{"queue": "q"}`, "step"},
		{"later step first", `{"queue": "q", "steps": [{"tasks": 1, "after": [1]}, {"tasks": 1}]}`, "after"},
		{"wrong identifier", `{"queue": "q", "id": "xyz", "steps": [{"tasks": 1}]}`, "xyz"},
	}
	for _, tt := range tests {
		_, err := ParseFile("job.jsonc", []byte(tt.text))
		assert.ErrorContains(t, err, tt.wantErr, tt.name)
	}
}

// TestExamples guards against example job files that ParseFile rejects.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/jobs/*.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		data, err := os.ReadFile(f)
		assert.NilError(t, err)
		_, err = ParseFile(f, data)
		assert.NilError(t, err)
	}
}
