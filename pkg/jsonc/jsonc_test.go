package jsonc

import (
	"testing"

	"gotest.tools/v3/assert"
)

type sample struct {
	Name  string `json:"name"`
	Inner struct {
		Count int `json:"count"`
	} `json:"inner"`
}

// TestDecodeErrorsHaveLine guards against errors that name no line or a wrong one, for example
// because the removal of a comment shifted the offsets.
func TestDecodeErrorsHaveLine(t *testing.T) {
	tests := []struct{ name, text, wantErr string }{
		{"unknown field", "{\n// a comment\n\"name\": \"a\",\n\"nmae\": 1}", `f:4: field "nmae" is not known`},
		{"wrong type", "{\n\"inner\": {\n\n\"count\": \"x\"}}", `f:4: field "inner.count" must be of type int, not string`},
		{"syntax", "{\n\"name\": }", "f:2: "},
		{"trailing text", "{}\n{}", "f:2: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := Decode[sample]("f", []byte(tt.text))
			assert.ErrorContains(t, err, tt.wantErr)
		})
	}
}

// TestErrorfUsesEnclosingValue guards against an error about an absent value that names no
// line: it must have the line of the innermost enclosing value.
func TestErrorfUsesEnclosingValue(t *testing.T) {
	_, doc, err := Decode[sample]("f", []byte("{\n\"inner\": {\n\"count\": 3}}"))
	assert.NilError(t, err)
	assert.Error(t, doc.Errorf("/inner/count", "too few"), "f:3: too few")
	assert.Error(t, doc.Errorf("/inner/absent/deep", "missing"), "f:2: missing")
}
