package emul

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAtNextAppend guards against pauses of the soak that hit no append: the function is called once, at an append of its
// entry to the job topic, before or after the append is stored.
func TestAtNextAppend(t *testing.T) {
	tests := []struct {
		name         string
		stored       bool
		entry, topic string // of the append
		called       bool
	}{
		{"before", false, "entry-1", jobTopic, true},
		{"after", true, "entry-1", jobTopic, true},
		{"another entry", false, "entry-2", jobTopic, false},
		{"another topic", true, "entry-1", "keyed.status", false},
	}
	for _, tt := range tests {
		p, err := NewPlatform(map[string]int{"alpha": 1}, 0)
		assert.NilError(t, err)
		address, err := p.LogAddress(tt.entry)
		assert.NilError(t, err)
		calls, stored := 0, false
		p.AtNextAppend("entry-1", tt.stored, func(partition int) {
			calls++
			assert.Equal(t, partition, 3, tt.name)
			stored = p.Store.JobRecord(partition, "k") != nil
		})
		for range 2 {
			const record = "\x00\x00\x00\x03\x01kv"
			res, err := http.Post("http://"+address+"/v1/log-append?part=3&topic="+tt.topic, "", strings.NewReader(record))
			assert.NilError(t, err, tt.name)
			res.Body.Close()
			assert.Equal(t, res.StatusCode, http.StatusOK, tt.name)
		}
		assert.Equal(t, calls == 1, tt.called, tt.name)
		assert.Equal(t, stored, tt.called && tt.stored, tt.name)
		p.Close()
	}
}
