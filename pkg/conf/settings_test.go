package conf

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const settingsTemplate = `{
  "name": "e", "data-centre": "d", "platform-url": "http://127.0.0.1:1",
  "caller-address": "127.0.0.1:1", "operator-address": "127.0.0.1:2", "peer-address": "127.0.0.1:3",
  %s
}`

// TestParse guards against invalid settings that are accepted, and against errors that do not
// name the line and the field. Comments and a trailing comma are allowed.
func TestParse(t *testing.T) {
	tests := []struct{ name, line, wantErr string }{
		{"whole", `"max-entries": 8`, ""},
		{"comment and trailing comma", "// eight\n\"max-entries\": 8,", ""},
		{"unknown field", `"max-entires": 8`, `s:4: field "max-entires" is not known`},
		{"wrong type", `"max-entries": "8"`, `s:4: field "max-entries" must be of type int, not string`},
		{"out of range", `"max-entries": 0`, `s:4: field "max-entries": 0 entries is out of range, allowed are 1 to 64`},
		{"no address", `"peers": ["entry-2"]`, `s:4: field "peers": "entry-2" is not an IP address and port`},
		{"missing", `"name": ""`, `field "name": a value is required`},
		{"freshness", `"fresh-for-ms": 3000`, `s:4: field "fresh-for-ms": 3000 ms has to be less than "silent-after-ms", 2000 ms`},
		{"heartbeat", `"heartbeat-ms": 600`, `s:4: field "heartbeat-ms": 600 ms has to be at most a third of "fresh-for-ms", 1500 ms`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("s", fmt.Appendf(nil, settingsTemplate, tt.line))
			if tt.wantErr == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.wantErr)
		})
	}
}

// TestFieldsAreUniqueAndDescribed guards against two entries of Fields that set the same
// field of Settings, and against help texts that are not a sentence.
func TestFieldsAreUniqueAndDescribed(t *testing.T) {
	seen := map[any]string{}
	var s Settings
	for _, f := range Fields {
		p := f.pointer(&s)
		assert.Equal(t, seen[p], "", "field %s sets the same field of Settings as another one", f.Name)
		seen[p] = f.Name
		assert.Assert(t, strings.HasSuffix(f.Help, "."), f.Name)
	}
}

// TestExamples guards against example settings files that Load rejects. The other example
// files are release notes.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.jsonc")
	assert.NilError(t, err)
	checked := 0
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "release") {
			continue
		}
		_, err := Load(file)
		assert.NilError(t, err)
		checked++
	}
	assert.Equal(t, checked, 2) // institute.jsonc and zelena.jsonc
}
